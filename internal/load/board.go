// Package load lets all daemons see how loaded each engine is. Every daemon
// posts its requests under way to one daemon of its region, the board, a few
// times a second, and learns there what all others have under way.
//
// Guarantee: none. What is told is a hint and ages; a daemon that does not
// hear the board goes by what it does itself.
package load

import (
	"sync"
	"time"
)

// ServiceName is the name under which a board is called by other daemons.
const ServiceName = "Load"

const methodPost = ServiceName + ".Post"

// Post is what one daemon has under way.
type Post struct {
	Member   string
	UnderWay map[string]int // by engine; those without any are left out
}

// Picture is what all daemons have under way, as far as the board heard.
type Picture struct {
	UnderWay map[string]int // by engine, the asking daemon's own included
}

// postKept is how long a post counts after the daemon was last heard.
const postKept = 1500 * time.Millisecond

// Board adds up what daemons post. It is safe for concurrent use.
type Board struct {
	now   func() time.Time
	mutex sync.Mutex
	posts map[string]kept
}

type kept struct {
	underWay map[string]int
	at       time.Time
}

// NewBoard makes an empty board.
func NewBoard(now func() time.Time) *Board { return &Board{now: now, posts: map[string]kept{}} }

// Post is called by other daemons.
func (b *Board) Post(post Post, picture *Picture) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.now()
	b.posts[post.Member] = kept{underWay: post.UnderWay, at: now}
	picture.UnderWay = map[string]int{}
	for member, each := range b.posts {
		if now.Sub(each.at) > postKept {
			delete(b.posts, member)
			continue
		}
		for engine, count := range each.underWay {
			picture.UnderWay[engine] += count
		}
	}
	return nil
}
