package logservice

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"

	"galenastair"
)

// Catalogue returns all models and adapters of the weight store.
func (c *Client) Catalogue(ctx context.Context) ([]galenastair.ModelWeights, error) {
	var resp CatalogueResponse
	err := c.callJSON(ctx, http.MethodGet, "/catalogue", nil, &resp)
	return resp.Weights, err
}

// Load downloads a weight from the weight store, as engines do, and returns when the
// download has ended.
func (c *Client) Load(ctx context.Context, w galenastair.ModelWeights) error {
	body, err := json.Marshal(w)
	if err != nil {
		return err
	}
	status, _, err := c.do(ctx, http.MethodPost, "/loads", body)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return eris.Wrapf(errStatus, "load %s: status %d", w.Name, status)
	}
	return nil
}
