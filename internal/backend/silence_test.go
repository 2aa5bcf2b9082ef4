package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Exchange on connections that have gone silent", func() {
	const idleConnections = 4

	// silentServer answers the first idleConnections requests, each on a connection of its own, and nothing
	// more on their connections.
	silentServer := func(ctx context.Context) *Instance {
		GinkgoHelper()
		var answers sync.WaitGroup
		answers.Add(idleConnections)
		server := newRawServer(func(number int64, id string, connection net.Conn) bool {
			if number <= idleConnections {
				answers.Done()
				answers.Wait()
			}
			_, _ = io.WriteString(connection, responseText(id, "x"))
			if number <= idleConnections {
				_, _ = io.Copy(io.Discard, connection)
			}
			return number > idleConnections
		})
		instance := server.instance()
		var sending sync.WaitGroup
		for number := range idleConnections {
			sending.Go(func() {
				defer GinkgoRecover()
				_, err := send(ctx, instance, fmt.Sprint("idle", number))
				Expect(err).NotTo(HaveOccurred())
			})
		}
		sending.Wait()
		return instance
	}

	// Guards against silent connections that each cost a request its time.
	It("costs one request, not one for each connection", func(ctx SpecContext) {
		instance := silentServer(ctx)
		short, cancel := context.WithTimeout(ctx, 2*minSilence)
		defer cancel()
		_, err := send(short, instance, "lost")
		Expect(err).To(HaveOccurred())
		next, cancelNext := context.WithTimeout(ctx, 10*time.Second)
		defer cancelNext()
		content, err := send(next, instance, "next")
		Expect(err).NotTo(HaveOccurred())
		Expect(content).To(Equal("x"))
	})

	// Guards against a repeated request that goes over a connection as old as the one that was silent.
	It("is avoided by a request that needs a connection that has received something", func(ctx SpecContext) {
		instance := silentServer(ctx)
		next, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		reply, err := instance.Exchange(next, &OutgoingRequest{
			Method: "GET", Target: "/", Host: "h", Header: http.Header{"Id": {"again"}}, ReceivedSince: time.Now(),
			MatchesResponse: func(header http.Header) bool { return header.Get("Id") == "again" },
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Body.Close()).To(Succeed())
	})

	// Guards against connections that are closed and opened again because callers leave early.
	It("is not suspected after a request that had little time", func(ctx SpecContext) {
		for {
			instance := silentServer(ctx)
			short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
			start := time.Now()
			_, err := send(short, instance, "lost")
			cancel()
			Expect(err).To(HaveOccurred())
			if time.Since(start) >= minSilence {
				continue // the machine stalled, so the request had more time
			}
			Expect(instance.pool.idle).To(HaveLen(idleConnections - 1))
			return
		}
	})
})
