package dispatch_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/thymeloft/thymeloft/internal/dispatch"
	"github.com/thymeloft/thymeloft/internal/lab/appservice"
	"github.com/thymeloft/thymeloft/internal/lab/modelengine"
	"github.com/thymeloft/thymeloft/internal/lab/standin"
)

// faultActions lists the faults of a back end that reports correctly. Such a
// back end replies with an error status only if the request has not started.
var faultActions = map[standin.Point][]standin.Action{
	standin.PointBefore: {standin.ActionLose, standin.ActionRefuse, standin.ActionFail, standin.ActionDelay},
	standin.PointStream: {standin.ActionLose, standin.ActionDelay},
	standin.PointAfter:  {standin.ActionLose, standin.ActionDelay},
}

// drawFaults draws up to four faults. Each applies to one or two requests.
func drawFaults(t *rapid.T) []standin.Rule {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) standin.Rule {
		point := rapid.SampledFrom([]standin.Point{standin.PointBefore, standin.PointStream, standin.PointAfter}).Draw(t, "point")
		return standin.Rule{
			Point:       point,
			Action:      rapid.SampledFrom(faultActions[point]).Draw(t, "action"),
			DelayMS:     rapid.IntRange(1, 20).Draw(t, "delay"),
			AfterChunks: rapid.IntRange(0, 8).Draw(t, "chunks"),
			Times:       rapid.IntRange(1, 2).Draw(t, "times"),
		}
	}), 0, 4).Draw(t, "faults")
}

func newFastDispatcher() *dispatch.HTTP {
	return dispatch.NewHTTP(dispatch.Options{
		MaxLookupTries: 3, InitialRetryDelay: time.Millisecond, MaxRetryDelay: 3 * time.Millisecond, CleanupTimeout: 500 * time.Millisecond,
	})
}

// With any faults, the report must match the engine's own records, and only text
// that the engine generated may be passed on.
func TestReportsMatchEngineRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engine := modelengine.New(modelengine.Options{Name: "engine-1", Model: "model", TimeScale: 0.001})
		defer engine.Close()
		server := httptest.NewServer(engine)
		defer server.Close()
		dispatcher := newFastDispatcher()
		defer dispatcher.Close()
		spec := modelSpec(server.URL)
		spec.Deadline = time.Now().Add(time.Duration(rapid.SampledFrom([]int{15, 2000}).Draw(t, "deadline")) * time.Millisecond)
		engine.Faults.Set(drawFaults(t))

		var pieces strings.Builder
		report := dispatcher.Send(context.Background(), spec, func(piece string) { pieces.WriteString(piece) })

		want := expectedAnswer()
		if !strings.HasPrefix(want, pieces.String()) {
			t.Fatalf("passed on %q, which is not a prefix of %q", pieces.String(), want)
		}
		records := engine.Records().Requests
		switch {
		case report.Ending == dispatch.EndingAnswered:
			if report.Answer.Content != want || report.Answer.CompletionTokens != records[0].Generated {
				t.Fatalf("answered %q (%d tokens), engine generated %q (%d)", report.Answer.Content, report.Answer.CompletionTokens, want, records[0].Generated)
			}
		case report.Ending == dispatch.EndingNeverRan && len(records) > 0:
			t.Fatalf("reported as not executed, but the engine recorded %+v", records[0])
		case report.Ending == dispatch.EndingFailed && report.GeneratedTokens >= 0 && len(records) > 0:
			if records[0].Generated != report.GeneratedTokens || records[0].State == "running" || records[0].State == "waiting" {
				t.Fatalf("reported as failed after %d tokens, but the engine recorded %+v", report.GeneratedTokens, records[0])
			}
		}
	})
}

// With any faults, the report must match the number of executions that the
// service recorded.
func TestReportsMatchServiceRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := appservice.New(appservice.Options{Name: "ledger", Delay: time.Millisecond})
		server := httptest.NewServer(service)
		defer server.Close()
		dispatcher := newFastDispatcher()
		defer dispatcher.Close()
		spec := serviceSpec(server.URL, rapid.Bool().Draw(t, "not repeatable"))
		spec.Deadline = time.Now().Add(time.Duration(rapid.SampledFrom([]int{8, 2000}).Draw(t, "deadline")) * time.Millisecond)
		service.Faults.Set(drawFaults(t))

		report := dispatcher.Send(context.Background(), spec, func(string) {})
		executions := 0
		for _, record := range service.Records().Executions {
			executions += record.Executions
		}
		switch report.Ending {
		case dispatch.EndingAnswered:
			if executions != 1 || string(report.Answer.Payload) != string(appservice.Answer("fund", []byte("x"))) {
				t.Fatalf("answered %q after %d executions", report.Answer.Payload, executions)
			}
		case dispatch.EndingNeverRan:
			if executions != 0 {
				t.Fatalf("reported as not executed, but there were %d executions", executions)
			}
		}
		if executions > 1 {
			t.Fatalf("%d executions of one attempt", executions)
		}
	})
}
