package budget

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
	"github.com/thymeloft/thymeloft/internal/state"
)

// Release returns to the store the tokens of a program that were granted to this process and are
// neither reserved nor spent, so that they can be granted to other processes. It returns how many
// tokens it released, also with an error.
func (l *Ledger) Release(ctx context.Context, identifier string) (int64, error) {
	held, known := l.programs.Get(identifier)
	if !known {
		return 0, nil
	}
	if err := held.lockStore(ctx); err != nil {
		return 0, err
	}
	defer held.unlockStore()
	defer held.updateGrantable()
	return l.releaseHolding(ctx, held)
}

// releaseHolding releases the available tokens of a holding, except to accounts with a pending
// grant. The caller holds the store lock.
func (l *Ledger) releaseHolding(ctx context.Context, held *holding) (int64, error) {
	released := int64(0)
	for _, to := range l.sortByHealth(held.accounts) {
		if to.pending != nil {
			continue
		}
		// Withdraw the tokens before the commit, so that this process can't spend them even if the
		// commit's outcome is unknown.
		amount := held.withdraw(to.stored.Granted)
		if amount == 0 {
			continue
		}
		if err := l.returnToAccount(ctx, held, to, amount); err != nil {
			return released, err
		}
		released += amount
	}
	return released, nil
}

// returnToAccount subtracts the amount, which has been withdrawn from the holding, from the tokens
// granted from an account. The ID stored with the change shows whether an attempt without an answer
// succeeded, so the amount is subtracted once. If the store did not execute the commit, the tokens are
// available again; after other errors they may stay granted.
func (l *Ledger) returnToAccount(ctx context.Context, held *holding, to *account, amount int64) error {
	err := l.subtractGranted(ctx, to, amount)
	if errors.Is(err, state.ErrNotExecuted) {
		held.putBack(amount)
	}
	return err
}

func (l *Ledger) subtractGranted(ctx context.Context, to *account, amount int64) error {
	grantID := rand.Uint64()
	for range maxConflicts {
		next := row{Total: to.limit, Granted: to.stored.Granted - amount, Grants: appendRecent(to.stored.Grants, grantID)}
		version, err := l.commit(ctx, to, next)
		if err == nil {
			to.stored, to.version = next, version
			return nil
		}
		committed, err := to.applyConflict(grantID, err)
		if committed || err != nil {
			return err
		}
		if to.stored.Granted < amount {
			return eris.Wrapf(state.ErrNotExecuted, "account has %d tokens granted, fewer than the %d to return", to.stored.Granted, amount)
		}
	}
	return eris.Wrap(state.ErrNotExecuted, "release budget: too many conflicts")
}

// maxReleaseIdle is how long a program may be idle and still be expected to continue. The tokens of
// programs that have been idle for longer are not released.
const maxReleaseIdle = 5 * time.Second

// ReleaseAll releases the tokens of programs that are likely to continue at other daemons. It is
// called before a planned stop. The first error cancels the releases that have not ended. It
// returns the numbers of programs and tokens released.
func (l *Ledger) ReleaseAll(ctx context.Context) (programs int, tokens int64) {
	const concurrency = 8
	var mutex sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(concurrency)
	for _, identifier := range l.programs.Keys() {
		held, known := l.programs.Peek(identifier)
		if !known || !held.isWorthReleasing() {
			continue
		}
		group.Go(func() error {
			released, err := l.Release(ctx, identifier)
			mutex.Lock()
			defer mutex.Unlock()
			if released > 0 {
				programs++
				tokens += released
			}
			return err
		})
	}
	_ = group.Wait() // tokens that could not be released stay granted
	return programs, tokens
}

// isWorthReleasing reports whether tokens are available and the program has run recently.
func (h *holding) isWorthReleasing() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.available > 0 && time.Since(h.lastUsed) < maxReleaseIdle
}

// ReleaseRequest asks a holder to release a program's tokens to the store.
type ReleaseRequest struct{ Program string }

// ReleaseReply returns the number of tokens released.
type ReleaseReply struct{ Tokens int64 }

const methodRelease = ServiceName + ".Release"

// Release is the RPC that releases a program's tokens to the store.
func (h *Holder) Release(request ReleaseRequest, reply *ReleaseReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), holderTimeout)
	defer cancel()
	tokens, err := h.ledger.Release(ctx, request.Program)
	reply.Tokens = tokens
	return err
}

// Reclaim asks the likely holders in all zones and regions to release a program's tokens, and waits
// for their replies until the context ends.
func (c *Client) Reclaim(ctx context.Context, program string) {
	var mutex sync.Mutex
	total := int64(0)
	var group errgroup.Group
	for _, holder := range c.list.LikelyHomes(program) {
		group.Go(func() error {
			tokens, err := c.askRelease(ctx, holder, program)
			mutex.Lock()
			defer mutex.Unlock()
			total += tokens
			return err
		})
	}
	_ = group.Wait() // a holder that doesn't reply retains its tokens
	c.log.Info("budget: reclaimed from others.", zap.String("program", program), zap.Int64("tokens", total))
}

func (c *Client) askRelease(ctx context.Context, holder members.Member, program string) (int64, error) {
	var reply ReleaseReply
	err := c.peerClient.Call(ctx, holder.Process.Address, peer.ClassControl, methodRelease, ReleaseRequest{Program: program}, &reply)
	if errors.Is(err, peer.ErrNotSent) {
		c.list.Suspect(holder, suspectDuration)
	}
	return reply.Tokens, err
}
