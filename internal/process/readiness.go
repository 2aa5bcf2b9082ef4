package process

import (
	"fmt"
	"net/http"
	"strings"
)

// Condition must hold for the process to be ready.
type Condition struct {
	Unmet string      // text of the response while the condition does not hold
	Holds func() bool // must be safe for concurrent use
}

// Conditions must all hold for the process to be ready. Conditions is also the HTTP
// handler of the readiness check.
type Conditions []Condition

// Unmet returns Condition.Unmet of each condition that does not hold.
func (c Conditions) Unmet() []string {
	var unmet []string
	for _, condition := range c {
		if !condition.Holds() {
			unmet = append(unmet, condition.Unmet)
		}
	}
	return unmet
}

// Hold reports whether all conditions hold.
func (c Conditions) Hold() bool { return len(c.Unmet()) == 0 }

// ServeHTTP implements http.Handler. The status is 200 if all conditions hold, and
// otherwise 503, with a body that lists the texts of the conditions that do not hold.
func (c Conditions) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	unmet := c.Unmet()
	if len(unmet) == 0 {
		fmt.Fprintln(writer, "ready")
		return
	}
	http.Error(writer, "not ready: "+strings.Join(unmet, "; "), http.StatusServiceUnavailable)
}
