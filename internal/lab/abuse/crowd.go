package abuse

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// CrowdCommand is the command of thymeloft-lab that calls PlayCrowd with its argument.
const CrowdCommand = "crowd"

// crowdProcessors is the number of processor cores that a crowd may use. The others are left to the gateway,
// the callers and the engines.
const crowdProcessors = "GOMAXPROCS=4"

// crowdOptions describe a crowd. They are passed to its process as JSON.
type crowdOptions struct {
	Target   Target
	Counts   map[string]int // number of clients, by their kind
	Prefix   string         // begins the identifiers of requests
	Duration time.Duration  // after which the crowd ends, if it is not ended before
}

// PlayCrowd plays the clients that the encoded crowdOptions describe. It writes the identifiers of requests whose
// answers promise that they did not run, one a line.
func PlayCrowd(ctx context.Context, encoded string, refusals io.Writer) error {
	var options crowdOptions
	if err := json.Unmarshal([]byte(encoded), &options); err != nil {
		return eris.Wrap(err, "decode the crowd")
	}
	ctx, stop := context.WithTimeout(ctx, options.Duration)
	defer stop()
	var playing sync.WaitGroup
	var mutex sync.Mutex
	onRefused := func(id string) {
		mutex.Lock()
		defer mutex.Unlock()
		_, _ = fmt.Fprintln(refusals, id) // fails if nobody reads them any more
	}
	for _, kind := range Clients() {
		if count := options.Counts[kind.Name]; count > 0 {
			playing.Go(func() { kind.Play(ctx, options.Target, count, options.Prefix, onRefused) })
		}
	}
	playing.Wait()
	return nil
}

// crowd is a process that plays clients, so that they do not take the processor from the callers and engines
// of this process.
type crowd struct {
	command  *exec.Cmd // nil: there are no clients
	refusals bytes.Buffer
	ended    bool
}

// startCrowd starts a process that plays the clients.
func startCrowd(options Options, at Target) (*crowd, error) {
	if len(options.Clients) == 0 {
		return &crowd{}, nil
	}
	counts := map[string]int{}
	for _, each := range options.Clients {
		counts[each.Name] = each.Count
	}
	encoded, err := json.Marshal(crowdOptions{Target: at, Counts: counts, Prefix: abusePrefix, Duration: options.Duration})
	if err != nil {
		return nil, eris.Wrap(err, "encode the crowd")
	}
	command := exec.Command(options.LabBinary, CrowdCommand, string(encoded))
	command.Env = append(os.Environ(), crowdProcessors)
	command.Stderr = os.Stderr
	started := &crowd{command: command}
	command.Stdout = &started.refusals
	return started, eris.Wrap(command.Start(), "start the crowd")
}

// end ends the process, waits for its end, and notes the requests that were refused. It returns an error if the
// process had failed.
func (c *crowd) end(world *world) error {
	if c.command == nil || c.ended {
		return nil
	}
	c.ended = true
	_ = c.command.Process.Kill() // fails if it has ended by itself
	_ = c.command.Wait()         // the process state contains the result
	if state := c.command.ProcessState; state.Exited() && !state.Success() {
		return eris.Errorf("the crowd failed: %s", state)
	}
	for line := range strings.Lines(c.refusals.String()) {
		if id, whole := strings.CutSuffix(line, "\n"); whole {
			world.noteRefusal(id)
		}
	}
	return nil
}
