package commandline_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"encoding/pem"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/callerapi"
	"github.com/thymeloft/thymeloft/internal/commandline"
	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/operatorapi"
	"github.com/thymeloft/thymeloft/internal/problem"
)

func TestCommandLine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "commandline")
}

const testKey = "a-secret-key"

// administrator is an in-memory configuration.Administrator. It applies every
// change. While there are failures, each change removes the first of them and
// returns it as an error.
type administrator struct {
	configuration.Administrator
	mutex    sync.Mutex
	machine  *configuration.Machine
	failures []error
}

func (a *administrator) Current() *configuration.Snapshot { return a.machine.Current() }
func (a *administrator) IsConfirmed() bool                { return true }

func (a *administrator) Change(_ context.Context, change configuration.Change) (configuration.ChangeResult, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	command, err := configuration.EncodeChange(change)
	if err != nil {
		return configuration.ChangeResult{}, err
	}
	result := *a.machine.Apply(0, command).(*configuration.ChangeResult)
	if len(a.failures) == 0 {
		return result, nil
	}
	failure := a.failures[0]
	a.failures = a.failures[1:]
	return configuration.ChangeResult{}, failure
}

func (a *administrator) History(_ context.Context, limit int) ([]configuration.Revision, error) {
	return a.machine.History(limit), nil
}

// commandResult is the exit code and the output of a command.
type commandResult struct {
	code commandline.ExitCode
	out  string
	err  string
}

func run(input string, arguments ...string) commandResult {
	var out, errors bytes.Buffer
	code := commandline.Run(context.Background(), arguments, commandline.Streams{In: strings.NewReader(input), Out: &out, Err: &errors})
	Expect(out.String() + errors.String()).NotTo(ContainSubstring(testKey))
	return commandResult{code: code, out: out.String(), err: errors.String()}
}

var _ = Describe("config and drain", func() {
	var admin *administrator
	var url string
	operator := func(input string, arguments ...string) commandResult {
		return run(input, append(arguments, "--operator-url", url, "--operator-key", testKey)...)
	}
	BeforeEach(func() {
		admin = &administrator{machine: configuration.NewMachine()}
		hash := sha256.Sum256([]byte(testKey))
		server := httptest.NewServer(operatorapi.NewHandler(operatorapi.Options{
			Administrator: admin, Keys: []string{"ailsa:" + hex.EncodeToString(hash[:])},
		}))
		DeferCleanup(server.Close)
		url = server.URL
	})

	It("gets, changes, diffs and applies a file, and lists the history", func() {
		Expect(operator("models:\n- name: a\n  version: \"1\"\n", "config", "apply", "-", "--base", "0").code).To(Equal(commandline.ExitOK))
		got := operator("", "config", "get")
		Expect(got.out).To(HavePrefix("# revision: 1\n"))

		edited := strings.Replace(got.out, `"1"`, `"2"`, 1)
		diff := operator(edited, "config", "diff", "-", "--exit-code")
		Expect(diff.code).To(Equal(commandline.ExitDifferences))
		Expect(diff.out).To(ContainSubstring("~ model a\n    version: 1 -> 2\n"))
		Expect(diff.err).To(BeEmpty())
		Expect(operator(edited, "config", "apply", "-", "-m", "new weights").out).To(Equal("accepted as revision 2\n"))
		Expect(operator("", "config", "history").out).To(MatchRegexp(`(?m)^2 .* ailsa +1 .*new weights$`))

		Expect(operator("", "config", "get", "--revision", "1").out).To(Equal(got.out))
		Expect(operator("", "config", "get", "--revision", "0").out).To(Equal("# revision: 0\n{}\n"))
		Expect(operator("", "config", "get", "--revision", "3").code).To(Equal(commandline.ExitNotFound))

		stale := operator(edited, "config", "apply", "-")
		Expect(stale.code).To(Equal(commandline.ExitConflict))
		Expect(stale.err).To(ContainSubstring("Read revision 2"))
	})

	It("applies partial changes", func() {
		Expect(operator("models:\n- name: b\n  version: \"1\"\n", "config", "apply", "--partial", "-", "--base", "0").code).To(Equal(commandline.ExitOK))
		deleted := operator("", "config", "apply", "--partial", "--delete", "model/b", "--base", "1", "-o", "json")
		Expect(deleted.out).To(MatchJSON(`{"revision": "2"}`))
		Expect(admin.Current().Document.Models).To(BeEmpty())
		Expect(operator("", "config", "apply", "--partial", "--delete", "modules/b", "--base", "2").code).To(Equal(commandline.ExitUsage))
		Expect(operator("", "config", "apply", "--delete", "model/b", "--base", "2").code).To(Equal(commandline.ExitUsage))
	})

	It("repeats a change whose response was lost, and applies it once", func() {
		admin.failures = []error{configuration.ErrChangeUncertain, errors.New("no leader")}
		applied := operator("", "drain", "add", "e1")
		Expect(applied.code).To(Equal(commandline.ExitOK))
		Expect(applied.out).To(Equal("revision 1, 1 drained\ne1\n"))
		Expect(applied.err).To(ContainSubstring("note: e1 is not a declared back end"))
		Expect(operator("", "drain", "remove", "e1").out).To(Equal("revision 2, 0 drained\n"))
	})

	It("prints the identifier to repeat a change whose outcome stays uncertain", func() {
		for range 9 {
			admin.failures = append(admin.failures, configuration.ErrChangeUncertain)
		}
		lost := operator("models: []", "config", "apply", "-", "--base", "0", "--change-id", "mine")
		Expect(lost.code).To(Equal(commandline.ExitUncertain))
		Expect(lost.err).To(ContainSubstring("--change-id mine"))
	})

	It("lists all faults, reports the line of an unknown field, and requires a base revision", func() {
		bad := "tenants:\n- name: a\n  burst: -1\n  class: golden\n"
		invalid := operator(bad, "config", "apply", "-", "--base", "0")
		Expect(invalid.code).To(Equal(commandline.ExitInvalid))
		Expect(invalid.err).To(And(ContainSubstring("burst"), ContainSubstring("golden")))
		partial := operator(bad, "config", "apply", "--partial", "-", "--base", "0")
		Expect(partial.code).To(Equal(commandline.ExitInvalid))
		Expect(partial.err).To(ContainSubstring("class"), "an unknown class must be rejected in a partial change too")
		Expect(run(bad, "config", "validate", "-").code).To(Equal(commandline.ExitInvalid))

		unknown := run("models:\n- nam: a\n", "config", "validate", "-")
		Expect(unknown.code).To(Equal(commandline.ExitInvalid))
		Expect(unknown.err).To(ContainSubstring("[2:3]"))
		Expect(operator("models: []", "config", "apply", "-").code).To(Equal(commandline.ExitUsage))
	})

	It("rejects a wrong key and prints how to set it", func() {
		refused := run("", "config", "get", "--operator-url", url, "--operator-key", "guessed")
		Expect(refused.code).To(Equal(commandline.ExitUnauthenticated))
		Expect(refused.err).To(ContainSubstring("THYMELOFT_OPERATOR_KEY"))
		Expect(run("", "config", "get", "--operator-url", url).code).To(Equal(commandline.ExitUsage))
		Expect(run("", "config", "get", "--operator-key", testKey).code).To(Equal(commandline.ExitUsage))
	})

	It("trusts the authorities of --authority", func() {
		hash := sha256.Sum256([]byte(testKey))
		server := httptest.NewTLSServer(operatorapi.NewHandler(operatorapi.Options{
			Administrator: admin, Keys: []string{hex.EncodeToString(hash[:])},
		}))
		DeferCleanup(server.Close)
		authority := filepath.Join(GinkgoT().TempDir(), "authority.pem")
		certificate := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})
		Expect(os.WriteFile(authority, certificate, 0o600)).To(Succeed())
		get := []string{"config", "get", "--operator-url", server.URL, "--operator-key", testKey}
		Expect(run("", get...).code).To(Equal(commandline.ExitUnavailable))
		Expect(run("", append(get, "--authority", authority)...).code).To(Equal(commandline.ExitOK))
	})

	It("exits with 6 when no daemon is reachable", func() {
		closed := httptest.NewServer(http.NotFoundHandler())
		closed.Close()
		gone := run("", "drain", "add", "e1", "--operator-url", closed.URL, "--operator-key", testKey)
		Expect(gone.code).To(Equal(commandline.ExitUnavailable))
	})

	It("does not print a key from the environment", func() {
		GinkgoT().Setenv("THYMELOFT_OPERATOR_KEY", testKey)
		help := run("", "config", "apply", "--help")
		Expect(help.code).To(Equal(commandline.ExitOK))
		Expect(help.out).To(ContainSubstring("--change-id"))
	})
})

var _ = Describe("program", func() {
	var seen []string
	var status int
	var answer any
	var url string
	caller := func(arguments ...string) commandResult {
		return run("", append(arguments, "--caller-url", url, "--caller-key", testKey)...)
	}
	BeforeEach(func() {
		seen, status = nil, http.StatusOK
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			body, _ := io.ReadAll(request.Body)
			seen = append(seen, request.Method+" "+request.URL.RequestURI()+" "+string(body))
			Expect(request.Header.Get("Authorization")).To(Equal("Bearer " + testKey))
			writer.WriteHeader(status)
			_ = json.NewEncoder(writer).Encode(answer)
		}))
		DeferCleanup(server.Close)
		url = server.URL
	})

	It("creates, calls, reads and ends programs through the caller API", func() {
		answer = callerapi.CreateReply{Program: "p0001-x"}
		Expect(caller("program", "create", "--creation-key", "k", "--idle", "90s").out).To(Equal("p0001-x\n"))
		answer = callerapi.CallReply{State: "answered", Answer: &callerapi.Answer{Content: "all paid", Engine: "e1"}}
		Expect(caller("program", "call", "p0001-x", "1", "--model", "assess", "-m", "check, please", "--max-tokens", "9").out).To(Equal("all paid\n"))
		payload := filepath.Join(GinkgoT().TempDir(), "payload")
		Expect(os.WriteFile(payload, []byte("{}"), 0o600)).To(Succeed())
		Expect(caller("program", "call", "p0001-x", "2", "--service", "factor-app", "--operation", "flag", "--payload-file", payload, "--not-repeatable").code).To(Equal(commandline.ExitOK))
		answer = callerapi.CallReply{State: "dispatched"}
		Expect(caller("program", "get", "p0001-x", "2", "--wait", "2s").out).To(Equal("dispatched\n"))
		status = http.StatusNoContent
		Expect(caller("program", "end", "p0001-x").out).To(Equal("ended\n"))
		Expect(seen).To(Equal([]string{
			`POST /v1/programs {"creation_key":"k","idle_seconds":90}`,
			`POST /v1/programs/p0001-x/calls/1 {"target":"model","name":"assess","messages":[{"role":"user","content":"check, please"}],"max_tokens":9}`,
			`POST /v1/programs/p0001-x/calls/2 {"target":"service","name":"factor-app","operation":"flag","payload":"e30=","not_repeatable":true}`,
			`GET /v1/programs/p0001-x/calls/2?wait_ms=2000 null`,
			`DELETE /v1/programs/p0001-x null`,
		}))
	})

	DescribeTable("reports the outcome of a problem in the exit code",
		func(kind problem.Kind, outcome problem.Outcome, code commandline.ExitCode, part string) {
			status = http.StatusBadGateway
			answer = callerapi.Problem{Title: kind, Outcome: outcome, Detail: "told so", RetryAfterSeconds: 3, ReadAt: "/v1/there"}
			got := caller("program", "get", "p0001-x", "1")
			Expect(got.code).To(Equal(code))
			Expect(got.err).To(And(ContainSubstring("told so"), ContainSubstring("after 3 s"), ContainSubstring(part)))
		},
		Entry(nil, problem.KindRefused, problem.OutcomeNotRun, commandline.ExitUnavailable, "Send the call again"),
		Entry(nil, problem.KindDeadlineExceeded, problem.OutcomeNotRun, commandline.ExitUnavailable, "not-run"),
		Entry(nil, problem.KindBackEndFailed, problem.OutcomeFailed, commandline.ExitFailed, "failed"),
		Entry(nil, problem.KindUnavailable, problem.OutcomeUnknown, commandline.ExitUncertain, "/v1/there"),
		Entry(nil, problem.KindUnknownProgram, problem.OutcomeNone, commandline.ExitNotFound, "Do not create"),
	)

	It("requires exactly one target, and recognizes a server that is not a daemon", func() {
		Expect(caller("program", "call", "p0001-x", "1", "--model", "a", "--tool", "b").code).To(Equal(commandline.ExitUsage))
		Expect(caller("program", "call", "p0001-x", "1").code).To(Equal(commandline.ExitUsage))
		status, answer = http.StatusNotFound, "no page"
		Expect(caller("program", "history", "p0001-x").err).To(ContainSubstring("caller endpoint"))
	})
})
