package process

import (
	"fmt"
	"net/http"
	"strings"
)

// Condition is one thing that must hold before a process is ready.
type Condition struct {
	Unmet string // what is said while it does not hold
	Holds func() bool
}

// Conditions are all that must hold before a process is ready.
type Conditions []Condition

// Unmet lists those that do not hold.
func (c Conditions) Unmet() []string {
	var unmet []string
	for _, condition := range c {
		if !condition.Holds() {
			unmet = append(unmet, condition.Unmet)
		}
	}
	return unmet
}

// Hold tells whether all hold.
func (c Conditions) Hold() bool { return len(c.Unmet()) == 0 }

// ServeHTTP answers 200 when all hold; else 503, and which do not.
func (c Conditions) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	unmet := c.Unmet()
	if len(unmet) == 0 {
		fmt.Fprintln(writer, "ready")
		return
	}
	http.Error(writer, "not ready: "+strings.Join(unmet, "; "), http.StatusServiceUnavailable)
}
