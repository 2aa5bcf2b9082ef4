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
	callerKey     = "caller-key"
	operatorKey   = "operator-key"
	modelName     = "assess"
	serviceName   = "ledger"
	clusterShards = 4
)

func hashKey(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// member is one daemon of the cluster under test; it runs in the test process.
type member struct {
	*daemon.Daemon
	client    *http.Client
	scheme    string
	stop      context.CancelFunc
	runResult chan error
}

// cluster is a set of daemons with stand-ins for the engine, the application
// service and the store.
type cluster struct {
	members []*member
	engine  *modelengine.Engine
	service *appservice.Service
	urls    map[string]string
	tls     *tlsCredentials // nil if the listeners do not use TLS
}

func (c *cluster) serve(name string, handler http.Handler) {
	GinkgoHelper()
	server, err := standin.Start("127.0.0.1:0", handler)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	c.urls[name] = server.URL()
}

func logger() *zap.Logger {
	encoder := zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, zapcore.AddSync(GinkgoWriter), zapcore.DebugLevel))
}

// newCluster starts count daemons without TLS, each in a zone of its own, and
// waits until all are ready.
func newCluster(count int) *cluster { return startCluster(count, nil) }

// startCluster starts count daemons, each in a zone of its own, and waits until
// all are ready. With credentials, every listener uses TLS; nil means no TLS.
func startCluster(count int, credentials *tlsCredentials) *cluster {
	GinkgoHelper()
	c := &cluster{urls: map[string]string{}, tls: credentials}
	c.engine = modelengine.New(modelengine.Options{Name: "engine-1", Model: modelName, Version: "1", TimeScale: 0.05})
	DeferCleanup(c.engine.Close)
	c.service = appservice.New(appservice.Options{Name: "ledger-1"})
	c.serve("engine", c.engine)
	c.serve("service", c.service)
	c.serve("store", platformstore.New(platformstore.Options{}))
	for number := range count {
		c.startMember(number, count)
	}
	for _, started := range c.members {
		Eventually(started.Ready).Should(BeTrue())
	}
	return c
}

// settingsForMember returns the settings of daemon number of a cluster of count
// daemons. The kernel picks the ports of all listeners.
func settingsForMember(number, count int, store string) settings.Settings {
	configured := settings.Default()
	configured.Machine = fmt.Sprintf("m%d", number)
	configured.Zone = fmt.Sprintf("zone-%d", number)
	configured.Region = "region"
	configured.Listen = settings.Listen{Caller: "127.0.0.1:0", Operator: "127.0.0.1:0", Peer: "127.0.0.1:0", Metrics: "127.0.0.1:0"}
	configured.Platform.Store = strings.TrimPrefix(store, "http://")
	configured.OperatorKeyHashes = []string{hashKey(operatorKey)}
	configured.Shards = clusterShards
	configured.BootstrapExpect = count
	return configured
}

// newStore creates a client of the stand-in for the store.
func newStore(address string, registry prometheus.Registerer) state.Store {
	calls := server.NewStoreMetrics(registry)
	return platform.NewStore(platform.StoreOptions{Address: address, CallTimeout: time.Second, Observe: calls.Observe})
}

func (c *cluster) startMember(number, count int) *member {
	GinkgoHelper()
	configured := settingsForMember(number, count, c.urls["store"])
	client, scheme := http.DefaultClient, "http"
	if c.tls != nil {
		configured.TLS = c.tls.settings()
		client, scheme = c.tls.client(), "https"
	}
	created, err := daemon.New(configured, newStore, logger())
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	started := &member{Daemon: created, client: client, scheme: scheme, stop: cancel, runResult: make(chan error, 1)}
	go func() { started.runResult <- created.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Eventually(started.runResult).Should(Receive())
	})
	c.members = append(c.members, started)
	return started
}

// applyConfiguration applies a configuration through one daemon and waits until
// every daemon reports that the engine accepts calls.
func (c *cluster) applyConfiguration() {
	GinkgoHelper()
	document := configuration.Document{
		Tenants:  []configuration.Tenant{{Name: "brackenlaw", KeyHashes: []string{hashKey(callerKey)}, TokenBudget: 100_000, MaxTurns: 100, Idle: time.Hour, Lifetime: time.Hour}},
		Models:   []configuration.Model{{Name: modelName, Version: "1"}},
		Engines:  []configuration.Engine{{Name: "engine-1", Address: c.urls["engine"], Zone: "zone-0"}},
		Pools:    []configuration.Pool{{Name: "pool", Model: modelName, Engines: []string{"engine-1"}}},
		Services: []configuration.Service{{Name: serviceName, Kind: "service", Addresses: []string{c.urls["service"]}}},
	}
	response, err := c.members[0].operatorClient().ApplyConfiguration(context.Background(), withOperatorKey(&operatorv1.ApplyConfigurationRequest{
		ChangeIdentifier: "first",
		Content:          &operatorv1.ApplyConfigurationRequest_Document{Document: convert.DocumentToProto(&document)},
	}))
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Msg.GetRevision()).To(BeEquivalentTo(1))
	for _, member := range c.members {
		Eventually(member.acceptingEngineCount).Should(Equal(1))
	}
}

func (m *member) operatorClient() operatorv1connect.OperatorServiceClient {
	return operatorv1connect.NewOperatorServiceClient(m.client, m.scheme+"://"+m.Addresses().Operator)
}

func withOperatorKey[T any](message *T) *connect.Request[T] {
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer "+operatorKey)
	return request
}

// acceptingEngineCount returns the number of engines that accept calls according
// to this daemon, or 0 if it does not return its status.
func (m *member) acceptingEngineCount() int {
	response, err := m.operatorClient().GetStatus(context.Background(), withOperatorKey(&operatorv1.GetStatusRequest{}))
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
	received, err := m.trySend(method, path, body)
	Expect(err).NotTo(HaveOccurred())
	return received
}

// trySend sends a caller's request. If it returns an error, the reply's status is
// zero if no reply was received. Otherwise the status was received, but the body
// was cut off.
func (m *member) trySend(method, path, body string) (reply, error) {
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
