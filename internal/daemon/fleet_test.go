package daemon_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	operatorv1 "github.com/thymeloft/thymeloft/api/operator/v1"
	"github.com/thymeloft/thymeloft/api/operator/v1/operatorv1connect"
	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/daemon"
	"github.com/thymeloft/thymeloft/internal/lab/appservice"
	"github.com/thymeloft/thymeloft/internal/lab/modelengine"
	"github.com/thymeloft/thymeloft/internal/lab/platformstore"
	"github.com/thymeloft/thymeloft/internal/lab/standin"
	"github.com/thymeloft/thymeloft/internal/operatorapi/convert"
	"github.com/thymeloft/thymeloft/internal/server"
	"github.com/thymeloft/thymeloft/internal/settings"
	"github.com/thymeloft/thymeloft/internal/state"
	"github.com/thymeloft/thymeloft/platform"
)

const (
	callerKey   = "caller-key"
	operatorKey = "operator-key"
	modelName   = "assess"
	serviceName = "ledger"
	fleetShards = 4
)

func hashOf(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// member is one daemon of the fleet under test, in this process.
type member struct {
	*daemon.Daemon
	client *http.Client
	scheme string
	stop   context.CancelFunc
	ended  chan error
}

// fleet is some daemons with stand-ins of back ends and of the table.
type fleet struct {
	members []*member
	engine  *modelengine.Engine
	service *appservice.Service
	urls    map[string]string
	secrets *secrets // nil: without TLS
}

func (f *fleet) serve(name string, handler http.Handler) {
	GinkgoHelper()
	server, err := standin.Start("127.0.0.1:0", handler)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	f.urls[name] = server.URL()
}

func logger() *zap.Logger {
	encoder := zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, zapcore.AddSync(GinkgoWriter), zapcore.DebugLevel))
}

// newFleet starts daemons in as many zones and waits until all are ready.
func newFleet(count int) *fleet { return newFleetWith(count, nil) }

// newFleetWith starts daemons that speak TLS on every listener, if there are secrets.
func newFleetWith(count int, used *secrets) *fleet {
	GinkgoHelper()
	f := &fleet{urls: map[string]string{}, secrets: used}
	f.engine = modelengine.New(modelengine.Options{Name: "engine-1", Model: modelName, Version: "1", TimeScale: 0.05})
	DeferCleanup(f.engine.Close)
	f.service = appservice.New(appservice.Options{Name: "ledger-1"})
	f.serve("engine", f.engine)
	f.serve("service", f.service)
	f.serve("store", platformstore.New(platformstore.Options{}))
	for number := range count {
		f.startMember(number, count)
	}
	for _, started := range f.members {
		Eventually(started.Ready).Should(BeTrue())
	}
	return f
}

// settingsOf gives the settings of one daemon of a fleet; all ports are the kernel's choice.
func settingsOf(number, count int, store string) settings.Settings {
	configured := settings.Default()
	configured.Machine = fmt.Sprintf("m%d", number)
	configured.Zone = fmt.Sprintf("zone-%d", number)
	configured.Region = "region"
	configured.Listen = settings.Listen{Caller: "127.0.0.1:0", Operator: "127.0.0.1:0", Peer: "127.0.0.1:0", Metrics: "127.0.0.1:0"}
	configured.Platform.Store = strings.TrimPrefix(store, "http://")
	configured.OperatorKeyHashes = []string{hashOf(operatorKey)}
	configured.Shards = fleetShards
	configured.BootstrapExpect = count
	return configured
}

// newStore makes a client of the stand-in of the store.
func newStore(address string, registry prometheus.Registerer) state.Store {
	calls := server.NewStoreCalls(registry)
	return platform.NewStore(platform.StoreOptions{Address: address, Patience: time.Second, Observe: calls.Observe})
}

func (f *fleet) startMember(number, count int) *member {
	GinkgoHelper()
	configured := settingsOf(number, count, f.urls["store"])
	client, scheme := http.DefaultClient, "http"
	if f.secrets != nil {
		configured.TLS = f.secrets.settings()
		client, scheme = f.secrets.client(), "https"
	}
	created, err := daemon.New(configured, newStore, logger())
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	started := &member{Daemon: created, client: client, scheme: scheme, stop: cancel, ended: make(chan error, 1)}
	go func() { started.ended <- created.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Eventually(started.ended).Should(Receive())
	})
	f.members = append(f.members, started)
	return started
}

// declare applies the configuration at one daemon and waits until it is in force at all.
func (f *fleet) declare() {
	GinkgoHelper()
	document := configuration.Document{
		Tenants:  []configuration.Tenant{{Name: "brackenlaw", KeyHashes: []string{hashOf(callerKey)}, TokenBudget: 100_000, MaxTurns: 100, Idle: time.Hour, Lifetime: time.Hour}},
		Models:   []configuration.Model{{Name: modelName, Version: "1"}},
		Engines:  []configuration.Engine{{Name: "engine-1", Address: f.urls["engine"], Zone: "zone-0"}},
		Pools:    []configuration.Pool{{Name: "pool", Model: modelName, Engines: []string{"engine-1"}}},
		Services: []configuration.Service{{Name: serviceName, Kind: "service", Addresses: []string{f.urls["service"]}}},
	}
	response, err := f.members[0].operator().ApplyConfiguration(context.Background(), asOperator(&operatorv1.ApplyConfigurationRequest{
		ChangeIdentifier: "first",
		Content:          &operatorv1.ApplyConfigurationRequest_Document{Document: convert.Document(&document)},
	}))
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Msg.GetRevision()).To(BeEquivalentTo(1))
	for _, member := range f.members {
		Eventually(member.acceptingEngines).Should(Equal(1))
	}
}

func (m *member) operator() operatorv1connect.OperatorServiceClient {
	return operatorv1connect.NewOperatorServiceClient(m.client, m.scheme+"://"+m.Addresses().Operator)
}

func asOperator[T any](message *T) *connect.Request[T] {
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer "+operatorKey)
	return request
}

// acceptingEngines counts the engines that take calls, as seen by the daemon.
func (m *member) acceptingEngines() int {
	response, err := m.operator().GetStatus(context.Background(), asOperator(&operatorv1.GetStatusRequest{}))
	if err != nil {
		return 0
	}
	count := 0
	for _, engine := range response.Msg.GetEngines() {
		if engine.GetAccepting() {
			count++
		}
	}
	return count
}

type reply struct {
	status int
	header http.Header
	body   string
}

func (r reply) decode(target any) {
	GinkgoHelper()
	Expect(json.Unmarshal([]byte(r.body), target)).To(Succeed(), r.body)
}

func (m *member) send(method, path, body string) reply {
	GinkgoHelper()
	answered, err := m.try(method, path, body)
	Expect(err).NotTo(HaveOccurred())
	return answered
}

// try sends a request. The status is zero when no reply began; an error with
// a status means that a reply was cut off.
func (m *member) try(method, path, body string) (reply, error) {
	request, err := http.NewRequest(method, m.scheme+"://"+m.Addresses().Caller+path, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+callerKey)
	response, err := m.client.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(bytes.TrimSpace(content))}, err
}
