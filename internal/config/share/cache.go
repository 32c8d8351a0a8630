package share

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"sync"

	"github.com/juju/errors"
)

// encodedCache caches the encoded complete configuration of one version. Many nodes
// that start together then cost one encoding in total.
type encodedCache struct {
	mu      sync.Mutex
	version uint64
	sum     string
	body    []byte
}

// encode returns an answer as JSON and whether it is compressed with gzip. Only
// complete configurations are cached.
func (c *encodedCache) encode(update Update) ([]byte, bool, error) {
	if update.Config == nil {
		encoded, err := json.Marshal(update)
		if err != nil || len(encoded) < gzipThreshold {
			return encoded, false, errors.Trace(err)
		}
		zipped, err := compress(encoded)
		return zipped, true, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.body != nil && c.version == update.Version && c.sum == update.Sum {
		return c.body, true, nil
	}
	encoded, err := json.Marshal(update)
	if err != nil {
		return nil, false, errors.Trace(err)
	}
	zipped, err := compress(encoded)
	if err != nil {
		return nil, false, err
	}
	c.version, c.sum, c.body = update.Version, update.Sum, zipped
	return zipped, true, nil
}

func compress(data []byte) ([]byte, error) {
	var body bytes.Buffer
	writer := gzip.NewWriter(&body)
	if _, err := writer.Write(data); err != nil {
		return nil, errors.Trace(err)
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return body.Bytes(), nil
}
