// Package toolservice simulates a tool, such as a ledger query. It is an
// application service whose operation OperationHang runs until it is cancelled.
package toolservice

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/lab/appservice"
)

// OperationHang is the operation that runs until it is cancelled.
const OperationHang = "hang"

// Options configure a tool.
type Options struct {
	Name  string
	Delay time.Duration // of each execution
}

// Tool is a simulated tool and its HTTP handler.
type Tool struct{ *appservice.Service }

// New returns a tool without recorded calls.
func New(options Options) *Tool {
	return &Tool{Service: appservice.New(appservice.Options{
		Name:  options.Name,
		Delay: options.Delay,
		Hangs: func(operation string) bool { return operation == OperationHang },
	})}
}
