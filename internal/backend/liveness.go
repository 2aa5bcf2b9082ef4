package backend

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// Liveness is what a new connection to an instance shows after an exchange with it failed.
type Liveness uint8

// Values of Liveness.
const (
	LivenessUnknown      Liveness = iota // not checked, or the attempt to connect failed at this daemon
	LivenessListening                    // the address accepts connections, and nothing shows that another process does so
	LivenessEnded                        // nothing listens at its address, or another instance does, so its process has ended
	LivenessSilent                       // there is no answer: the machine is gone or frozen, or the path is cut
	LivenessUnidentified                 // the address accepts connections, but what listens there did not say who it is
)

// String returns the value as it is logged.
func (l Liveness) String() string {
	return [...]string{"unknown", "listening", "ended", "silent", "unidentified"}[l]
}

const (
	// livenessTimeout bounds one attempt to connect. It is several round trips between zones.
	livenessTimeout = 100 * time.Millisecond
	// closingDuration is how long the listener of a process that ends may still accept connections
	// after its other connections were closed.
	closingDuration = 5 * time.Millisecond
	// maxLivenessDials is the maximum number of attempts if connections are accepted and then closed.
	maxLivenessDials = 3
)

// CheckLiveness connects to the instance to find out whether its process has ended. It takes at most
// livenessTimeout and a few times closingDuration. The connection, if it stays open, is used for
// requests.
func (i *Instance) CheckLiveness(ctx context.Context) Liveness {
	ctx, cancel := context.WithTimeout(ctx, livenessTimeout)
	defer cancel()
	found := LivenessUnknown
	for range maxLivenessDials {
		opened, err := i.pool.dial(ctx)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return LivenessEnded
		case errors.Is(err, syscall.ECONNRESET): // the listener was closed before it accepted the connection
			continue
		case isTimeout(err):
			return LivenessSilent
		case err != nil:
			return LivenessUnknown
		}
		found = LivenessListening
		if staysOpen(opened) {
			i.pool.put(opened)
			return found
		}
		_ = opened.Close()
	}
	return found
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// staysOpen reports whether the instance neither closes the new connection nor sends anything within
// closingDuration.
func staysOpen(opened *connection) bool {
	if opened.SetReadDeadline(time.Now().Add(closingDuration)) != nil {
		return false
	}
	_, err := opened.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded) && opened.SetReadDeadline(time.Time{}) == nil
}
