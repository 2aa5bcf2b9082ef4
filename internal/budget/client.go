package budget

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/peer"
	"github.com/thymeloft/thymeloft/internal/state"
)

// Timeouts and retries of calls to holders, and how long a holder is skipped.
const (
	reserveTimeout = 400 * time.Millisecond // bounds one reservation request
	// settleTimeout bounds one attempt to send a settlement. A settlement is sent up to
	// maxSettleAttempts times, with growing pauses that start at settleBackoff, since the tokens of
	// a lost one stay reserved.
	settleTimeout     = time.Second
	maxSettleAttempts = 3
	settleBackoff     = 500 * time.Millisecond
	suspectDuration   = time.Second      // a holder that did not answer is skipped for this long
	stoppingDuration  = 10 * time.Second // a holder that is stopping is skipped for this long
)

// Settler describes a reservation and ends it.
type Settler interface {
	// GeneratedTokens returns how many tokens the program had generated when the reservation was
	// made, as far as the holder of its budget knew. It is a hint.
	GeneratedTokens() int64
	// CachedPrefix returns the engine that has read the longest prefix of the turn's prompt, and
	// the number of parts in that prefix; "" and 0 if not known. It is a hint.
	CachedPrefix() (engine string, parts int)
	// RecorderAddress returns the address of the daemon that recorded the turn that this one
	// continues; "" if not known. It is a hint.
	RecorderAddress() string
	// SetEngine sets the engine at which the turn ran. It must be called before Settle.
	SetEngine(engine string)
	// SetRecordedTurn sets the identifier under which this daemon recorded the turn. It must be
	// called before Settle.
	SetRecordedTurn(turn string)
	// Settle ends the reservation and frees the tokens that were not generated. Only the first call
	// has an effect.
	Settle(generated int64)
}

// Client reserves tokens at the daemon of the region that holds a program's budget. All daemons of
// the region thus share the tokens granted to the holder, and need no store while enough of these
// are left. If the holder doesn't answer, the next one is asked, and finally this daemon's own
// ledger, whose grants come from the same rows of the store. It is safe for concurrent use, but
// LocalOnly and PreferZone must be set before its first use.
type Client struct {
	ledger     *Ledger
	list       *members.List
	peerClient peer.Client
	store      *state.Availability
	log        *zap.Logger
	// LocalOnly makes this daemon reserve only from its own ledger. It is for experiments.
	LocalOnly bool
	// PreferZone reserves at holders in the zone of the daemon that the turn arrived at, instead of
	// the whole region. A zone that is cut off can then continue the programs that started there,
	// and calls to holders stay within the zone. The budget still limits all zones together: all
	// grants come from the same rows of the store, and only one daemon lends. Each holder asks
	// those of other zones to release tokens before it reports a budget as spent.
	PreferZone bool
}

// NewClient returns a Client that uses ledger for this daemon's own reservations. It sets the
// ledger's function to reclaim tokens from other holders.
func NewClient(ledger *Ledger, list *members.List, peerClient peer.Client, store *state.Availability, log *zap.Logger) *Client {
	client := &Client{ledger: ledger, list: list, peerClient: peerClient, store: store, log: log}
	ledger.reclaim = client.Reclaim
	return client
}

// Reserve reserves the tokens of a turn. The name of the reservation must be unique. While the
// store is unavailable to the holder, Reserve waits and retries until the context ends. It returns
// ErrSpent if the budget has too few tokens left.
func (c *Client) Reserve(ctx context.Context, request ReserveRequest) (Settler, error) {
	name := request.Reservation
	for attempt := 1; ; attempt++ {
		settler, err := c.reserveOnce(ctx, request)
		if !errors.Is(err, errNoStore) || ctx.Err() != nil {
			return settler, err
		}
		if err := c.store.Wait(ctx); err != nil || !pause.Sleep(ctx, storeRetryDelay) {
			return nil, errNoStore
		}
		// Each attempt has a new name: the previous one may still be settled late.
		request.Reservation = fmt.Sprintf("%s/%d", name, attempt)
	}
}

// reserveOnce asks the holders once: those of the region or, if PreferZone is set, those of this
// zone and then the region's first holder.
func (c *Client) reserveOnce(ctx context.Context, request ReserveRequest) (Settler, error) {
	zoneHolders, hasZoneHolders := c.list.ZoneHomes(request.Program)
	if c.LocalOnly || !c.PreferZone || !hasZoneHolders {
		return c.reserveAtHolders(ctx, c.list.Homes(request.Program), request)
	}
	return c.reserveInZone(ctx, zoneHolders, request)
}

// Suffixes of the reservation's name in the second and third attempt of reserveInZone.
const (
	regionSuffix    = "/region"
	zoneRetrySuffix = "/near"
)

// reserveInZone asks the holders of this zone. If the budget is spent there or their store is
// unavailable, it asks the region's first holder, which may be able to lend.
func (c *Client) reserveInZone(ctx context.Context, zoneHolders members.Homes, request ReserveRequest) (Settler, error) {
	regionHolders := c.list.Homes(request.Program)
	first := regionHolders.At(0) // there is at least one: this daemon
	if first.Process == zoneHolders.At(0).Process {
		return c.reserveAtHolders(ctx, zoneHolders, request)
	}
	zoneRequest := request
	zoneRequest.Soon = true
	settler, err := c.reserveAtHolders(ctx, zoneHolders, zoneRequest)
	spent := errors.Is(err, ErrSpent)
	undecided := spent || errors.Is(err, errNoStore) || state.IsTransient(err)
	if settler != nil || ctx.Err() != nil || !undecided {
		return settler, err
	}
	// The name must differ, so that a late settlement of the first reservation doesn't end the
	// second one.
	request.Reservation += regionSuffix
	settler, regionErr := c.reserveAt(ctx, first, request)
	switch {
	case regionErr == nil, errors.Is(regionErr, ErrSpent), errors.Is(regionErr, errNoStore), ctx.Err() != nil:
		return settler, regionErr
	case spent:
		return nil, err
	default: // the first holder did not answer: wait for the store in this zone
		request.Reservation += zoneRetrySuffix
		return c.reserveAtHolders(ctx, zoneHolders, request)
	}
}

// reserveAt asks one holder, which may be this daemon.
func (c *Client) reserveAt(ctx context.Context, holder members.Member, request ReserveRequest) (Settler, error) {
	if holder.Process == c.list.Self() {
		return c.reserveLocally(ctx, request)
	}
	return c.askHolder(ctx, holder, request)
}

// reserveAtHolders asks the holders in order, up to this daemon, and then this daemon's own ledger.
// It skips holders whose zones may be cut off. It returns the first definite result.
func (c *Client) reserveAtHolders(ctx context.Context, holders members.Homes, request ReserveRequest) (Settler, error) {
	var silentZones []identity.Zone // other zones with a holder that did not answer
	for order := range holders.Len() {
		holder := holders.At(order)
		if c.LocalOnly || holder.Process == c.list.Self() {
			break
		}
		zone := holder.Process.Zone
		if c.list.IsZoneSilent(holder) || slices.Contains(silentZones, zone) {
			continue // the whole zone may be cut off
		}
		settler, err := c.askHolder(ctx, holder, request)
		if settler != nil || errors.Is(err, ErrSpent) || errors.Is(err, errNoStore) || ctx.Err() != nil {
			return settler, err
		}
		if zone != c.list.Self().Zone && !errors.Is(err, errStopping) {
			silentZones = append(silentZones, zone)
		}
	}
	return c.reserveLocally(ctx, request)
}

// reserveLocally reserves from this daemon's own ledger.
func (c *Client) reserveLocally(ctx context.Context, request ReserveRequest) (Settler, error) {
	reservation, err := c.ledger.reserve(ctx, request.params())
	if err != nil {
		return nil, err
	}
	engine, partsRead := c.ledger.turnLocations.findEngine(request.Program, request.Parts)
	placement := turnPlacement{
		request: request, engine: engine, partsRead: partsRead,
		recorderAddress: c.ledger.turnLocations.recorderAddress(request.Program, request.Previous), selfAddress: c.list.Self().Address,
	}
	return &localSettler{Reservation: reservation, turnLocations: c.ledger.turnLocations, turnPlacement: placement}, nil
}

// askHolder sends a reservation request to a holder. It returns an error that matches ErrSpent,
// errNoStore or errStopping as the holder replied, or the error of the call if the holder did not
// answer.
func (c *Client) askHolder(ctx context.Context, holder members.Member, request ReserveRequest) (Settler, error) {
	callCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	var reply ReserveReply
	err := c.peerClient.Call(callCtx, holder.Process.Address, peer.ClassControl, methodReserve, request, &reply)
	granted := &remoteSettler{client: c, holder: holder, turnPlacement: turnPlacement{request: request, selfAddress: c.list.Self().Address}}
	if err != nil {
		if ctx.Err() == nil {
			c.list.RecordMiss(holder)
			c.avoidHolder(holder, suspectDuration, err.Error())
		}
		if !errors.Is(err, peer.ErrNotSent) {
			granted.Settle(0) // the holder may have made the reservation nevertheless
		}
		return nil, err
	}
	c.list.ClearSuspicion(holder)
	switch reply.Result {
	case resultReserved:
		granted.generated = reply.Attained
		granted.engine, granted.partsRead = reply.Engine, reply.Read
		granted.recorderAddress = reply.KeptAt
		return granted, nil
	case resultSpent:
		return nil, &RemoteSpentError{Holder: string(holder.Process.Machine), Detail: reply.Detail}
	case resultStopping:
		c.avoidHolder(holder, stoppingDuration, "stopping")
		return nil, errStopping
	default:
		return nil, eris.Wrapf(errNoStore, "holder %s: %s", holder.Process.Machine, reply.Detail)
	}
}

var errNoStore = errors.New("the holder of the budget cannot reach the store")

// storeRetryDelay is the delay before a retry once the store is available again.
const storeRetryDelay = 20 * time.Millisecond

var errStopping = errors.New("the holder is stopping")

// RemoteSpentError is returned if another daemon, as the holder, reports that the budget is spent.
// It matches ErrSpent.
type RemoteSpentError struct{ Holder, Detail string }

// Error implements error.
func (e *RemoteSpentError) Error() string {
	return ErrSpent.Error() + " at " + e.Holder + ": " + e.Detail
}

// Is reports that a RemoteSpentError matches ErrSpent.
func (e *RemoteSpentError) Is(target error) bool { return target == ErrSpent }

func (c *Client) avoidHolder(holder members.Member, wait time.Duration, cause string) {
	c.list.Suspect(holder, wait)
	c.log.Warn("budget: holder skipped.", zap.String("holder", string(holder.Process.Machine)), zap.Duration("for", wait), zap.String("cause", cause))
}
