package peers

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/cicadamill/cicadamill/internal/gate/feed"
	"github.com/cicadamill/cicadamill/internal/gate/pick"
)

// FetchRows returns a table's rows after a version from the first peer that answers.
// It asks the parent first and the others in random order.
func (p *Peers) FetchRows(ctx context.Context, table string, after uint64) (feed.Page, error) {
	err := errors.New("no peer is known")
	for _, address := range p.addresses() {
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

// addresses returns the addresses of all peers in random order, the parent's
// first.
func (p *Peers) addresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	addresses := make([]string, 0, len(p.links))
	for _, l := range p.links {
		addresses = append(addresses, l.address)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	if l, ok := p.links[p.parent]; ok {
		addresses = slices.Insert(addresses, 0, l.address)
	}
	return addresses
}

func (p *Peers) ask(ctx context.Context, address, table string, after uint64) (page feed.Page, err error) {
	err = p.get(ctx, "http://"+address+rowsPath+url.PathEscape(table)+"?after="+strconv.FormatUint(after, 10), &page)
	page.Sender = address
	return page, err
}

// FetchParts returns the cached prompt parts known to the first peer that answers.
func (p *Peers) FetchParts(ctx context.Context) (parts []pick.Placement, err error) {
	err = errors.New("no peer is up")
	for _, address := range p.upAddresses(time.Now()) {
		if err = p.get(ctx, "http://"+address+partPath, &parts); err == nil {
			return parts, nil
		}
	}
	return nil, err
}

// CompleteParts returns the cached prompt parts known to the nodes that together know those
// of all nodes: the parent; for a root the other roots; in a full mesh two others. What
// nodes reported before this node was in touch with them is not sent again.
func (p *Peers) CompleteParts(ctx context.Context) ([]pick.Placement, error) {
	var all []pick.Placement
	var last error
	for _, address := range p.partSources(time.Now()) {
		var parts []pick.Placement
		if err := p.get(ctx, "http://"+address+partPath, &parts); err != nil {
			last = err
			continue
		}
		all = append(all, parts...)
	}
	return all, last
}

func (p *Peers) partSources(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := p.tree.Receivers(now)
	if p.tree.IsMesh() {
		names = slices.DeleteFunc(names, func(name string) bool { return !p.tree.Alive(now, name) })
		names = names[:min(len(names), meshPartSources)]
	}
	var addresses []string
	for _, name := range names {
		if l, ok := p.links[name]; ok {
			addresses = append(addresses, l.address)
		}
	}
	return addresses
}

// meshPartSources is the number of nodes of a full mesh that are asked for prompt parts.
const meshPartSources = 2

// upAddresses returns the addresses of the peers that are up, the parent's first: its
// link is the widest of the data centre, and it gets the state of all others.
func (p *Peers) upAddresses(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []string
	for _, node := range p.tree.Up(now) {
		l, ok := p.links[node.Name]
		switch {
		case !ok:
		case node.Name == p.parent:
			addresses = slices.Insert(addresses, 0, l.address)
		default:
			addresses = append(addresses, l.address)
		}
	}
	return addresses
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
	return errors.Trace(cbor.NewDecoder(io.LimitReader(response.Body, maxMessageBytes)).Decode(into))
}
