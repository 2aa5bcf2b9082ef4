package process

import (
	"fmt"
	"net/http"
	"strings"
)

// Condition must hold for the process to be ready.
type Condition struct {
	UnmetMessage string      // text of the response while the condition does not hold
	IsMet        func() bool // must be safe for concurrent use
}

// Conditions must all hold for the process to be ready. Conditions is also the HTTP
// handler of the readiness check.
type Conditions []Condition

// UnmetMessages returns Condition.UnmetMessage of each condition that does not hold.
func (c Conditions) UnmetMessages() []string {
	var unmet []string
	for _, condition := range c {
		if !condition.IsMet() {
			unmet = append(unmet, condition.UnmetMessage)
		}
	}
	return unmet
}

// AllMet reports whether all conditions hold.
func (c Conditions) AllMet() bool { return len(c.UnmetMessages()) == 0 }

// ServeHTTP implements http.Handler. The status is 200 if all conditions hold, and
// otherwise 503, with a body that lists the texts of the conditions that do not hold.
func (c Conditions) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	unmet := c.UnmetMessages()
	if len(unmet) == 0 {
		fmt.Fprintln(writer, "ready")
		return
	}
	http.Error(writer, "not ready: "+strings.Join(unmet, "; "), http.StatusServiceUnavailable)
}
