package site_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/config/jsonc"
	"github.com/cicadamill/cicadamill/internal/config/site"
)

// validText is a valid text. The tests replace parts of it with invalid ones.
const validText = `{
  "site": "tema", // A comment.
  "regions": [{"name": "coast", "dataCentres": ["tema", "kasoa"]}],
  "weights": {"tailTtft": 3, "recomputation": 1},
  "models": [{"name": "m", "weightVersion": "1", "blockTokens": 2000, "adapters": [{"name": "a", "version": "1"}]}, {"name": "n", "weightVersion": "1", "blockTokens": 2000}],
  "engines": [{"name": "e1", "address": "10.0.0.1:80", "dataCentre": "tema", "model": "m"}, {"name": "e2", "address": "10.0.0.2:80", "dataCentre": "kasoa", "model": "n"}],
  "kvStore": {"name": "kv", "address": "10.0.0.3:80", "dataCentre": "tema"},
  "weightStore": {"loadsAtOnce": 2, "loadsPerMinute": 4},
  "applications": [{"name": "ask", "model": "m", "adapter": "a", "engines": ["e1"], "dependsOn": ["kv", "book"]}],
  "services": [{"name": "book", "targets": [{"name": "b1", "address": "10.0.0.4:80", "dataCentre": "tema"}], "calls": [{"method": "POST", "path": "/deliveries"}]}, {"name": "pay", "dependsOn": ["book"], "targets": [{"name": "p1", "address": "10.0.0.5:80", "dataCentre": "tema"}]}],
  "workspaces": [{"name": "w", "share": 1, "keyHashes": ["HASH"], "applications": ["ask"], "services": ["book"]}],
}`

const hash = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

func TestValidText(t *testing.T) {
	config, err := site.Parse([]byte(strings.ReplaceAll(validText, "HASH", hash)))
	require.NoError(t, err)
	assert.Equal(t, []string{"kv", "book"}, config.Applications[0].DependsOn)
	assert.Equal(t, &site.WeightStore{LoadsAtOnce: 2, LoadsPerMinute: 4}, config.WeightStore)
}

func TestBadTexts(t *testing.T) {
	tests := map[string]struct {
		old, new string
		want     string
	}{
		"no site":                 {`"site": "tema"`, `"site": ""`, `2:11: site: is missing; give it a name`},
		"unknown field":           {`"site"`, `"sit"`, `2:3: sit: is not a known field; did you mean "site"?`},
		"field of other case":     {`"site"`, `"Site"`, `2:3: Site: is not a known field; did you mean "site"?`},
		"duplicate key":           {`"site": "tema",`, `"site": "tema", "site": "x",`, `2:19: site: is given twice; remove it here or at 2:3`},
		"wrong type":              {`"tailTtft": 3`, `"tailTtft": "3"`, `4:27: weights.tailTtft: must be a number, not a string`},
		"negative weight":         {`"tailTtft": 3`, `"tailTtft": -3`, `4:27: weights.tailTtft: is -3; it can't be negative`},
		"no weight":               {`{"tailTtft": 3, "recomputation": 1}`, `{}`, `4:14: weights: are all zero; set tailTtft or recomputation above zero`},
		"no data centre":          {`["tema", "kasoa"]`, `[]`, `3:14: regions: names no data centre; list at least one region`},
		"data centre twice":       {`["tema", "kasoa"]`, `["tema", "kasoa", "tema"]`, `3:66: regions[0].dataCentres[2]: another data centre is named "tema", at regions[0].dataCentres[0]`},
		"zero blocks":             {`"blockTokens": 2000, "ad`, `"blockTokens": 0, "ad`, `5:65: models[0].blockTokens: is 0; give the length of a cached block`},
		"no weight version":       {`"m", "weightVersion": "1"`, `"m"`, `5:14: models[0].weightVersion: is missing; name the version`},
		"model twice":             {`{"name": "n"`, `{"name": "m"`, `another model is named "m", at models[0].name; choose another name`},
		"unknown data centre":     {`"dataCentre": "kasoa"`, `"dataCentre": "accra"`, `6:148: engines[1].dataCentre: there is no data centre "accra"; define it or mend the name`},
		"unknown model":           {`"model": "m"}, {"name": "e2"`, `"model": "x"}, {"name": "e2"`, `engines[0].model: there is no model "x"`},
		"engine twice":            {`"e2"`, `"e1"`, `engines[1].name: another engine is named "e1", at engines[0].name`},
		"address by name":         {`10.0.0.1:80`, `engine.local:80`, `engines[0].address: "engine.local:80" is no IP number with a port; names are not looked up`},
		"address without port":    {`10.0.0.1:80`, `10.0.0.1`, `"10.0.0.1" is no IP number with a port`},
		"address twice":           {`10.0.0.2:80`, `10.0.0.1:80`, `engines[1].address: 10.0.0.1:80 is the address of engine e1, too; give each target its own`},
		"negative capacity":       {`"model": "n"}]`, `"model": "n", "capacity": -1}]`, `engines[1].capacity: is -1; it can't be negative`},
		"negative cache":          {`"model": "n"}]`, `"model": "n", "cacheBlocks": -1}]`, `engines[1].cacheBlocks: is -1`},
		"unknown role":            {`"model": "n"}]`, `"model": "n", "role": "boss"}]`, `engines[1].role: "boss" is not known; use one of ["serve" "drain" "standby"]`},
		"KV store elsewhere":      {`"10.0.0.3:80", "dataCentre": "tema"`, `"10.0.0.3:80", "dataCentre": "x"`, `kvStore.dataCentre: there is no data centre "x"`},
		"negative loads":          {`"loadsAtOnce": 2`, `"loadsAtOnce": -2`, `weightStore.loadsAtOnce: is -2`},
		"unknown adapter":         {`"adapter": "a"`, `"adapter": "b"`, `applications[0].adapter: model "m" has no adapter "b"`},
		"no engines":              {`"engines": ["e1"]`, `"engines": []`, `applications[0].engines: is empty; list the engines that may answer`},
		"unknown engine":          {`["e1"]`, `["e1", "e9"]`, `applications[0].engines[1]: there is no engine "e9"`},
		"engine listed twice":     {`["e1"]`, `["e1", "e1"]`, `applications[0].engines[1]: "e1" is listed twice; remove one`},
		"engine of other model":   {`["e1"]`, `["e1", "e2"]`, `applications[0].engines[1]: engine "e2" serves model "n", not "m"`},
		"too many serving":        {`"engines": ["e1"]`, `"engines": ["e1"], "minServing": 2`, `applications[0].minServing: is 2, more than the 1 engines`},
		"unknown dependency":      {`["kv", "book"]`, `["kv", "cook"]`, `applications[0].dependsOn[1]: there is no application, service or store "cook"`},
		"depends on application":  {`["kv", "book"]`, `["kv", "ask"]`, `applications[0].dependsOn[1]: "ask" is an application; depend on services and stores only`},
		"service without targets": {`[{"name": "b1", "address": "10.0.0.4:80", "dataCentre": "tema"}]`, `[]`, `services[0].targets: is empty; list at least one target`},
		"circular dependency":     {`{"name": "book", `, `{"name": "book", "dependsOn": ["pay"], `, `services[1].dependsOn: goes in a circle: book needs pay needs book; remove one of these`},
		"depends on itself":       {`"dependsOn": ["book"]`, `"dependsOn": ["pay"]`, `services[1].dependsOn: goes in a circle: pay needs pay`},
		"bad method":              {`"method": "POST"`, `"method": "post"`, `services[0].calls[0].method: "post" is no HTTP method; use capital letters`},
		"bad path":                {`"path": "/deliveries"`, `"path": "deliveries"`, `services[0].calls[0].path: "deliveries" does not begin with a slash`},
		"bad pattern":             {`"path": "/deliveries"`, `"path": "/{"`, `services[0].calls[0].path: `},
		"call twice":              {`{"method": "POST", "path": "/deliveries"}`, `{"method": "POST", "path": "/a"}, {"method": "POST", "path": "/a"}`, `services[0].calls[1].path: `},
		"negative timeout":        {`"name": "pay", `, `"name": "pay", "timeoutMillis": -1, `, `services[1].timeoutMillis: is -1`},
		"service named like app":  {`"name": "pay"`, `"name": "ask"`, `services[1].name: another application, service or store is named "ask"`},
		"negative share":          {`"share": 1`, `"share": -1`, `workspaces[0].share: is -1; it can't be negative`},
		"unknown class":           {`"share": 1`, `"class": "vip"`, `workspaces[0].class: "vip" is not known`},
		"bad hash":                {`"HASH"`, `"secret"`, `workspaces[0].keyHashes[0]: is no SHA-256 hash; write 64 hexadecimal digits`},
		"key twice":               {`"HASH"`, `"HASH", "HASH"`, `workspaces[0].keyHashes[1]: the same key is at workspaces[0].keyHashes[0]; a key stands for one workspace`},
		"no key":                  {`["HASH"]`, `[]`, `workspaces[0].keyHashes: is empty; give the SHA-256 hash of at least one key`},
		"unknown application":     {`"applications": ["ask"], "s`, `"applications": ["sell"], "s`, `workspaces[0].applications[0]: there is no application "sell"`},
		"unknown service":         {`"services": ["book"]}]`, `"services": ["cook"]}]`, `workspaces[0].services[0]: there is no service "cook"`},
		"unusable name":           {`"name": "w"`, `"name": "a/b"`, `workspaces[0].name: "a/b" is no usable name; use 1 to 63 letters`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, validText, test.old)
			source := strings.Replace(validText, test.old, test.new, 1)
			config, err := site.Parse([]byte(strings.ReplaceAll(source, "HASH", hash)))
			var invalid *jsonc.Error
			require.ErrorAs(t, err, &invalid)
			assert.ErrorContains(t, err, test.want)
			assert.Zero(t, config, "no configuration is returned")
		})
	}
}

func TestAllIssuesAreReported(t *testing.T) {
	_, err := site.Parse([]byte(strings.NewReplacer(`10.0.0.1:80`, "x", `"share": 1`, `"share": -1`, `"kv", "book"`, `"no", "none"`).Replace(validText)))
	var invalid *jsonc.Error
	require.ErrorAs(t, err, &invalid)
	assert.Len(t, invalid.Issues, 5, "address, share, two references, hash")
}

func ExampleParse() {
	_, err := site.Parse([]byte(`{
  "site": "tema",
  "regions": [{"name": "coast", "dataCentres": ["tema"]}],
  "weights": {"tailTtft": 1}, "weihgts": {},
}`))
	fmt.Println(err)
	// Output:
	// 1 error in the configuration, nothing was applied:
	//   4:31: weihgts: is not a known field; did you mean "weights"?
}
