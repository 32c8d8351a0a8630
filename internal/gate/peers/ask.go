package peers

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/cicadamill/cicadamill/internal/gate/feed"
	"github.com/cicadamill/cicadamill/internal/gate/pick"
)

// Rows asks peers, one after the other, for what they know of a table.
func (p *Peers) Rows(ctx context.Context, table string, after uint64) (feed.Page, error) {
	p.mu.Lock()
	addresses := make([]string, 0, len(p.known))
	for _, known := range p.known {
		addresses = append(addresses, known.address)
	}
	p.mu.Unlock()
	slices.Sort(addresses)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	err := errors.New("no peer is known")
	for _, address := range addresses {
		var page feed.Page
		if page, err = p.ask(ctx, address, table, after); err == nil {
			return page, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return feed.Page{}, err
}

func (p *Peers) ask(ctx context.Context, address, table string, after uint64) (page feed.Page, err error) {
	err = p.get(ctx, "http://"+address+rowsPath+url.PathEscape(table)+"?after="+strconv.FormatUint(after, 10), &page)
	return page, err
}

// AskParts returns what a peer believes to be in caches.
func (p *Peers) AskParts(ctx context.Context) (parts []pick.Placed, err error) {
	err = errors.New("no peer is up")
	for _, name := range p.Up(time.Now()) {
		p.mu.Lock()
		known, ok := p.known[name]
		p.mu.Unlock()
		if !ok {
			continue
		}
		if err = p.get(ctx, "http://"+known.address+partPath, &parts); err == nil {
			return parts, nil
		}
	}
	return nil, err
}

func (p *Peers) get(ctx context.Context, address string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return errors.Trace(err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("peer answered %s", response.Status)
	}
	return errors.Trace(json.NewDecoder(io.LimitReader(response.Body, maxMessageBytes)).Decode(into))
}
