package callerapi_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/thymeloft/thymeloft/internal/callerapi"
	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/identity"
)

// FuzzRequests checks that no path, body or header leads to a 5xx status, and that
// a rejected request submits no call.
func FuzzRequests(f *testing.F) {
	f.Add("POST", "/v1/programs", `{"creation_key":"k","idle_seconds":1e300}`, "")
	f.Add("POST", "/v1/programs/p0003-aaaaaaaaaaaaaaaaaaaaaaaaaa/calls/1", `{"target":"model","name":"m","messages":[{"role":"user","content":"x"}],"max_tokens":1}`, "")
	f.Add("POST", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"stream":true}`, "p0003-aaaaaaaaaaaaaaaaaaaaaaaaaa")
	f.Add("GET", "/v1/programs/p0003-aaaaaaaaaaaaaaaaaaaaaaaaaa/calls/1?wait_ms=99999999999", "", "")
	f.Add("DELETE", "/v1/programs/p0000-x", "[", "1")
	f.Fuzz(func(t *testing.T, method, path, body, header string) {
		request, err := http.NewRequest(method, "http://host", strings.NewReader(body))
		if err != nil || !strings.HasPrefix(path, "/") {
			return
		}
		request.URL.Path, request.URL.RawQuery, _ = strings.Cut(path, "?")
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("Authorization", "Bearer key-b")
		request.Header.Set(callerapi.HeaderProgram, header)
		request.Header.Set(callerapi.HeaderSequence, header)
		programs := newFakePrograms(answeredReply("whole"))
		programs.tenants["p0003-aaaaaaaaaaaaaaaaaaaaaaaaaa"] = identity.Tenant("brackenlaw")
		snapshot := configuration.NewSnapshot(1, configuration.Document{Tenants: []configuration.Tenant{tenantWithKey("brackenlaw", "key-b")}})
		handler := callerapi.NewHandler(callerapi.Options{
			Programs:      programs,
			Configuration: fakeSource{&endpoint{snapshot: snapshot}},
		})
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		if recorder.Code >= http.StatusInternalServerError {
			t.Errorf("%s %q with %q: status %d: %s", method, path, body, recorder.Code, recorder.Body)
		}
		if recorder.Code >= http.StatusBadRequest && len(programs.submitted) > 0 {
			t.Errorf("%s %q with %q: refused with %d, yet submitted", method, path, body, recorder.Code)
		}
	})
}
