package replay

import (
	"fmt"
	"strings"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/lab/fleet"
	"github.com/thymeloft/thymeloft/internal/lab/modelengine"
)

// arrival is the arrival of one request at a back end.
type arrival struct {
	backEnd   string
	call      string // "program/sequence"
	arrivedMS int64  // Unix milliseconds
}

// records combines what all engines and replicas recorded. Calls are identified as
// "program/sequence".
type records struct {
	arrivals          []arrival
	executions        map[string]int                  // by call
	startedExecutions map[string]int                  // attempts at replicas, and engine requests that generated tokens; by call
	generatedTokens   map[identity.Program]int64      // by program
	firstArrivalMS    map[string]int64                // Unix milliseconds, by call
	requests          map[string][]modelengine.Record // requests to engines, by call
}

// collectRecords reads the records of all engines and replicas.
func collectRecords(running *fleet.Fleet) records {
	found := records{
		executions:        map[string]int{},
		startedExecutions: map[string]int{},
		generatedTokens:   map[identity.Program]int64{},
		firstArrivalMS:    map[string]int64{},
		requests:          map[string][]modelengine.Record{},
	}
	for _, engine := range running.Engines {
		for _, record := range engine.Records().Requests {
			found.addRequest(engine.Name, record)
		}
	}
	for _, replica := range running.Replicas {
		for _, execution := range replica.Records().Executions {
			found.executions[execution.CallID] += execution.Executions
			for _, attempt := range execution.Attempts {
				found.startedExecutions[execution.CallID]++
				found.addArrival(arrival{backEnd: replica.Name, call: execution.CallID, arrivedMS: attempt.ArrivedMS})
			}
		}
	}
	return found
}

func (r *records) addRequest(engine string, record modelengine.Record) {
	call := record.RequestID[:max(0, strings.LastIndexByte(record.RequestID, '/'))]
	r.requests[call] = append(r.requests[call], record)
	r.generatedTokens[identity.Program(record.Program)] += record.Generated
	if record.Generated > 0 {
		r.executions[call]++
		r.startedExecutions[call]++
	}
	r.addArrival(arrival{backEnd: engine, call: call, arrivedMS: record.ArrivedMS})
}

func (r *records) addArrival(added arrival) {
	r.arrivals = append(r.arrivals, added)
	first, found := r.firstArrivalMS[added.call]
	if !found || added.arrivedMS < first {
		r.firstArrivalMS[added.call] = added.arrivedMS
	}
}

func callID(id identity.Program, index int) string { return fmt.Sprintf("%s/%d", id, index+1) }
