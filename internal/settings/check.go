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
	sha256Bytes   = 32
	largestShards = 0xffff // a program identifier carries the shard in four hexadecimal digits
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// checker gathers faults, each with the key that it concerns.
type checker struct{ faults Faults }

func (c *checker) add(key, format string, arguments ...any) {
	c.faults = append(c.faults, key+": "+fmt.Sprintf(format, arguments...))
}

// Check returns nil or Faults with everything that is wrong.
func (s *Settings) Check() error {
	c := &checker{}
	c.name("machine", s.Machine)
	c.name("zone", s.Zone)
	c.name("region", s.Region)
	s.checkAddresses(c)
	s.checkPlatform(c)
	s.checkKeys(c)
	c.tlsFiles("tls.caller", s.TLS.Caller)
	c.tlsFiles("tls.operator", s.TLS.Operator)
	c.tlsFiles("tls.peer", s.TLS.Peer)
	c.tlsFiles("tls.metrics", s.TLS.Metrics)
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
	c.listen("listen.caller", s.Listen.Caller)
	c.listen("listen.operator", s.Listen.Operator)
	c.listen("listen.peer", s.Listen.Peer)
	c.listen("listen.metrics", s.Listen.Metrics)
	if s.Advertise != "" {
		c.reachable("advertise", s.Advertise)
	} else if unspecified(s.Listen.Peer) {
		c.add("advertise", "needed because listen.peer is %s, which others cannot reach", s.Listen.Peer)
	}
	if s.AdvertiseCaller != "" {
		c.reachable("advertise_caller", s.AdvertiseCaller)
	} else if unspecified(s.Listen.Caller) {
		c.add("advertise_caller", "needed because listen.caller is %s, which others cannot reach", s.Listen.Caller)
	}
}

func (s *Settings) checkPlatform(c *checker) {
	c.reachable("platform.store", s.Platform.Store)
	c.url("platform.machines", s.Platform.Machines)
	c.url("platform.weights", s.Platform.Weights)
}

func (s *Settings) checkKeys(c *checker) {
	for i, hash := range s.OperatorKeyHashes {
		digits := hash[strings.IndexByte(hash, ':')+1:]
		decoded, err := hex.DecodeString(digits)
		if err != nil || len(decoded) != sha256Bytes {
			c.add(fmt.Sprintf("operator_key_hashes[%d]", i), "not NAME:HASH or HASH with a SHA-256 in 64 hexadecimal digits")
		}
	}
}

func (s *Settings) checkShards(c *checker) {
	if s.Shards < 1 || s.Shards > largestShards {
		c.add("shards", "%d is not between 1 and %d", s.Shards, largestShards)
	}
	if s.BootstrapExpect < 1 {
		c.add("bootstrap_expect", "%d is less than 1", s.BootstrapExpect)
	}
	c.positive("confirm_bound", s.ConfirmBound)
	c.positive("drain_timeout", s.DrainTimeout)
	c.positive("commit_timeout", s.CommitTimeout)
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
			c.add(count.key, "%d is less than 1", count.value)
		}
	}
	c.positive("limits.header_timeout", s.Limits.HeaderTimeout)
	c.positive("limits.read_timeout", s.Limits.ReadTimeout)
	c.positive("limits.write_timeout", s.Limits.WriteTimeout)
	c.positive("limits.idle_timeout", s.Limits.IdleTimeout)
	c.positive("limits.call_timeout", s.Limits.CallTimeout)
	c.positive("limits.longest_deadline", s.Limits.LongestDeadline)
	if s.Limits.CallTimeout > s.Limits.LongestDeadline {
		c.add("limits.call_timeout", "%s is more than limits.longest_deadline, %s", s.Limits.CallTimeout, s.Limits.LongestDeadline)
	}
}

func (s *Settings) checkLog(c *checker) {
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		c.add("log.level", "%q is not debug, info, warn or error", s.Log.Level)
	}
	switch s.Log.Format {
	case "json", "console":
	default:
		c.add("log.format", "%q is not json or console", s.Log.Format)
	}
}

func (c *checker) name(key, value string) {
	if value == "" {
		c.add(key, "missing")
		return
	}
	if !namePattern.MatchString(value) {
		c.add(key, "%q is not a name of lower-case letters, digits, dots and dashes", value)
	}
}

func (c *checker) listen(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(key, "%q is not IP:PORT", value)
	}
}

func (c *checker) reachable(key, value string) {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		c.add(key, "%q is not IP:PORT", value)
		return
	}
	if address.Port() == 0 || address.Addr().IsUnspecified() {
		c.add(key, "%q cannot be reached by others", value)
	}
}

func (c *checker) url(key, value string) {
	if value == "" {
		return
	}
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		c.add(key, "%q is not an http or https URL", value)
	}
}

func (c *checker) positive(key string, value time.Duration) {
	if value <= 0 {
		c.add(key, "%s is not more than zero", value)
	}
}

func (c *checker) tlsFiles(key string, files TLSFiles) {
	if (files.Certificate == "") != (files.Key == "") {
		c.add(key, "certificate and key must be set together")
	}
	if files.Authority != "" && files.Certificate == "" {
		c.add(key+".authority", "set without a certificate")
	}
	c.file(key+".certificate", files.Certificate)
	c.file(key+".key", files.Key)
	c.file(key+".authority", files.Authority)
}

func (c *checker) file(key, name string) {
	if name == "" {
		return
	}
	if _, err := os.Stat(name); err != nil {
		c.add(key, "cannot be read: %v", err)
	}
}

func unspecified(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	parsed, err := netip.ParseAddr(host)
	return err == nil && parsed.IsUnspecified()
}
