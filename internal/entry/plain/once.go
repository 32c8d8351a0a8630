package plain

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	jujuerrors "github.com/juju/errors"

	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/entry/fault"
	"github.com/cicadamill/cicadamill/internal/node/once"
	"github.com/cicadamill/cicadamill/internal/safety/effect"
	"github.com/cicadamill/cicadamill/internal/safety/ledger"
	"github.com/cicadamill/cicadamill/internal/target/web"
)

const (
	maxOnceBodyBytes = 256 << 10
	// maxKeyLength is the maximum length of an idempotency key in bytes.
	maxKeyLength = 255
	// maxAttempts is the maximum number of targets tried for a call.
	maxAttempts = 3
)

const (
	errLate    = jujuerrors.ConstError("the owner's time is over")
	errLeaving = jujuerrors.ConstError("the target is leaving")
)

// serveOnce serves a call that is not idempotent.
func (h *Handler) serveOnce(w http.ResponseWriter, r *http.Request, c call) error {
	key, err := idempotencyKey(r.Header)
	if err != nil {
		return err
	}
	body, err := readBody(w, r)
	if err != nil {
		return err
	}
	if len(h.availableTargets(c.service.Name)) == 0 {
		return noTarget()
	}
	header := targetHeader(r, c)
	header.Set(IdempotencyKeyHeader, key)
	reply, err := h.options.Ledger.Run(r.Context(), once.Call{
		Workspace: c.workspace,
		Key:       key,
		Digest:    ledger.Digest(c.service.Name, r.Method, c.uri, r.Header.Get("Content-Type"), body),
		Dispatch: func(ctx context.Context, hold ledger.Dispatch) ledger.Finished {
			request := web.Request{Method: r.Method, URI: c.uri, Header: header}
			return h.dispatch(ctx, c, request, body, hold)
		},
	})
	if err != nil {
		return err
	}
	copyHeader(w.Header(), callerHeader(reply.Answer.Header))
	if reply.Repeated {
		w.Header().Set(repeatedHeader, "true")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(reply.Answer.Body)))
	w.WriteHeader(reply.Answer.Status)
	_, _ = w.Write(reply.Answer.Body)
	return nil
}

func idempotencyKey(header http.Header) (string, error) {
	values := header.Values(IdempotencyKeyHeader)
	if len(values) != 1 || values[0] == "" {
		return "", refuse("keyRequired", http.StatusBadRequest, "this call may not be repeated: send one "+IdempotencyKeyHeader+" header, new for each action and the same for each try of it")
	}
	if len(values[0]) > maxKeyLength {
		return "", refuse("keyTooLong", http.StatusBadRequest, "the "+IdempotencyKeyHeader+" is longer than "+strconv.Itoa(maxKeyLength)+" characters")
	}
	return values[0], nil
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOnceBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refuse("bodyTooLarge", http.StatusRequestEntityTooLarge, "the body of a call that may not be repeated is at most "+strconv.Itoa(maxOnceBodyBytes)+" bytes")
	}
	if err != nil {
		return nil, refuse("bodyUnread", http.StatusBadRequest, "the body could not be read")
	}
	return body, nil
}

// dispatch sends the call to the first target that can be reached. It tries the
// next target only if no byte of the request has been sent.
func (h *Handler) dispatch(ctx context.Context, c call, request web.Request, body []byte, hold ledger.Dispatch) ledger.Finished {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	finished := ledger.Finished{Outcome: effect.NotRun{Reason: "no target"}, Code: "noTarget", Message: "no target of this service takes work now"}
	for attempt, target := range h.rankedTargets(c.service.Name) {
		if attempt == maxAttempts || ctx.Err() != nil {
			break
		}
		request.Body, request.Length = web.BytesBody(body)
		answer, err := h.send(ctx, target, request, hold)
		var failure *web.Error
		if !errors.As(err, &failure) {
			return ledger.Finished{Outcome: effect.Answered{}, Answer: ledger.Answer{
				Outcome: effect.Name(effect.Answered{}), Status: answer.Status, Header: callerHeader(answer.Header), Body: answer.Body,
			}}
		}
		h.countFailure(c, failure)
		finished = ledger.Finished{Outcome: failure.Outcome, Code: string(failure.Code), Message: failure.Message}
		if errors.Is(err, errLate) {
			finished.Code = "ledgerSlow"
			return finished
		}
		if failure.Code != web.Unreachable {
			return finished
		}
	}
	return finished
}

func (h *Handler) send(ctx context.Context, target site.Target, request web.Request, hold ledger.Dispatch) (web.Response, error) {
	end := h.ranking.Begin(target.Address)
	answer, err := h.client.CallOnce(ctx, target.Address, request, func() error {
		if hold.Expired(h.options.Now()) {
			return errLate
		}
		if h.options.Leaving(target.Name) {
			return errLeaving
		}
		return nil
	})
	end(time.Now(), targetReached(err))
	return answer, err
}

func targetReached(err error) bool {
	var failure *web.Error
	return !errors.As(err, &failure) || failure.Code == web.Refused
}

// countFailure counts a target's failure by service, code and outcome.
func (h *Handler) countFailure(c call, failure *web.Error) {
	h.options.Scope.Tagged(map[string]string{
		"service": c.service.Name, "code": string(failure.Code), "ran": effect.Name(failure.Outcome),
	}).Counter("target_failures").Inc(1)
}

// callerError converts a target's failure into the error for the caller.
func callerError(failure *web.Error) error {
	status := http.StatusBadGateway
	switch failure.Code {
	case web.TimedOut:
		status = http.StatusGatewayTimeout
	case web.Unreachable, web.Refused:
		status = http.StatusServiceUnavailable
	case web.BadRequest:
		status = http.StatusBadRequest
	}
	after := failure.RetryAfter
	if after == 0 && status == http.StatusServiceUnavailable {
		after = time.Second
	}
	return &fault.Error{Code: string(failure.Code), Status: status, Outcome: failure.Outcome, RetryAfter: after, Message: "the service's target failed"}
}
