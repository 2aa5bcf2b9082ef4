package settings

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strings"
	"time"
)

const (
	sha256Bytes = 32
	maxShards   = 0xffff // a program identifier stores the shard number in four hexadecimal digits
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// checker collects faults. Each fault starts with the key of its setting.
type checker struct{ faults ValidationError }

func (c *checker) add(key, format string, arguments ...any) {
	c.faults = append(c.faults, key+": "+fmt.Sprintf(format, arguments...))
}

// Check validates the settings. It returns nil, or an error of type ValidationError that lists
// all faults.
func (s *Settings) Check() error {
	c := &checker{}
	c.checkName("machine", s.Machine)
	c.checkName("zone", s.Zone)
	c.checkName("region", s.Region)
	s.checkAddresses(c)
	s.checkPlatform(c)
	s.checkKeys(c)
	c.checkTLSFiles("tls.caller", s.TLS.Caller)
	c.checkTLSFiles("tls.operator", s.TLS.Operator)
	c.checkTLSFiles("tls.peer", s.TLS.Peer)
	c.checkTLSFiles("tls.metrics", s.TLS.Metrics)
	s.checkShards(c)
	s.checkLimits(c)
	s.checkScheduling(c)
	s.checkEngines(c)
	s.checkLog(c)
	if len(c.faults) == 0 {
		return nil
	}
	return c.faults
}

func (s *Settings) checkAddresses(c *checker) {
	c.checkListenAddress("listen.caller", s.Listen.Caller)
	c.checkListenAddress("listen.operator", s.Listen.Operator)
	c.checkListenAddress("listen.peer", s.Listen.Peer)
	c.checkListenAddress("listen.metrics", s.Listen.Metrics)
	if s.Advertise != "" {
		c.checkReachableAddress("advertise", s.Advertise)
	} else if isUnspecified(s.Listen.Peer) {
		c.add("advertise", "must be set because listen.peer is %s, which other daemons cannot reach", s.Listen.Peer)
	}
	if s.AdvertiseCaller != "" {
		c.checkReachableAddress("advertise_caller", s.AdvertiseCaller)
	} else if isUnspecified(s.Listen.Caller) {
		c.add("advertise_caller", "must be set because listen.caller is %s, which other daemons cannot reach", s.Listen.Caller)
	}
}

func (s *Settings) checkPlatform(c *checker) {
	c.checkReachableAddress("platform.store", s.Platform.Store)
	c.checkURL("platform.machines", s.Platform.Machines)
	c.checkURL("platform.weights", s.Platform.Weights)
}

func (s *Settings) checkKeys(c *checker) {
	for i, hash := range s.OperatorKeyHashes {
		digits := hash[strings.IndexByte(hash, ':')+1:]
		decoded, err := hex.DecodeString(digits)
		if err != nil || len(decoded) != sha256Bytes {
			c.add(fmt.Sprintf("operator_key_hashes[%d]", i), "must be NAME:HASH or HASH, where HASH is a SHA-256 hash in 64 hexadecimal digits")
		}
	}
}

func (s *Settings) checkShards(c *checker) {
	if s.Shards < 1 || s.Shards > maxShards {
		c.add("shards", "%d must be between 1 and %d", s.Shards, maxShards)
	}
	if s.BootstrapExpect < 1 {
		c.add("bootstrap_expect", "%d must be at least 1", s.BootstrapExpect)
	}
	c.checkPositive("confirm_bound", s.ConfirmBound)
	c.checkPositive("drain_timeout", s.DrainTimeout)
	c.checkPositive("commit_timeout", s.CommitTimeout)
}

func (s *Settings) checkLimits(c *checker) {
	counts := []struct {
		key   string
		value int64
	}{
		{"limits.body_bytes", s.Limits.BodyBytes},
		{"limits.header_bytes", int64(s.Limits.HeaderBytes)},
		{"limits.connections", int64(s.Limits.Connections)},
		{"limits.requests", int64(s.Limits.Requests)},
	}
	for _, count := range counts {
		if count.value < 1 {
			c.add(count.key, "%d must be at least 1", count.value)
		}
	}
	c.checkPositive("limits.header_timeout", s.Limits.HeaderTimeout)
	c.checkPositive("limits.read_timeout", s.Limits.ReadTimeout)
	c.checkPositive("limits.write_timeout", s.Limits.WriteTimeout)
	c.checkPositive("limits.idle_timeout", s.Limits.IdleTimeout)
	c.checkPositive("limits.call_timeout", s.Limits.CallTimeout)
	c.checkPositive("limits.longest_deadline", s.Limits.LongestDeadline)
	if s.Limits.CallTimeout > s.Limits.LongestDeadline {
		c.add("limits.call_timeout", "%s must be at most limits.longest_deadline, which is %s", s.Limits.CallTimeout, s.Limits.LongestDeadline)
	}
}

func (s *Settings) checkLog(c *checker) {
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		c.add("log.level", "%q must be debug, info, warn or error", s.Log.Level)
	}
	switch s.Log.Format {
	case "json", "console":
	default:
		c.add("log.format", "%q must be json or console", s.Log.Format)
	}
}

func (c *checker) checkName(key, value string) {
	if value == "" {
		c.add(key, "missing")
		return
	}
	if !namePattern.MatchString(value) {
		c.add(key, "%q must be a name of lower-case letters, digits, dots and dashes", value)
	}
}

func (c *checker) checkListenAddress(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(key, "%q must be IP:PORT", value)
	}
}

func (c *checker) checkReachableAddress(key, value string) {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		c.add(key, "%q must be IP:PORT", value)
		return
	}
	if address.Port() == 0 || address.Addr().IsUnspecified() {
		c.add(key, "%q must not have port 0 or the address 0.0.0.0 or ::", value)
	}
}

func (c *checker) checkURL(key, value string) {
	if value == "" {
		return
	}
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		c.add(key, "%q must be an http or https URL", value)
	}
}

func (c *checker) checkPositive(key string, value time.Duration) {
	if value <= 0 {
		c.add(key, "%s must be greater than zero", value)
	}
}

func (c *checker) checkTLSFiles(key string, files TLSFiles) {
	if (files.Certificate == "") != (files.Key == "") {
		c.add(key, "certificate and key must be set together")
	}
	if files.Authority != "" && files.Certificate == "" {
		c.add(key+".authority", "must not be set without a certificate")
	}
	c.checkFile(key+".certificate", files.Certificate)
	c.checkFile(key+".key", files.Key)
	c.checkFile(key+".authority", files.Authority)
}

func (c *checker) checkFile(key, name string) {
	if name == "" {
		return
	}
	if _, err := os.Stat(name); err != nil {
		c.add(key, "cannot be read: %v", err)
	}
}

func isUnspecified(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	parsed, err := netip.ParseAddr(host)
	return err == nil && parsed.IsUnspecified()
}
