package logservice

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"

	"galenastair"
)

// Catalogue returns every model and adapter that the weight store holds.
func (c *Client) Catalogue(ctx context.Context) ([]galenastair.Weight, error) {
	var answer CatalogueAnswer
	err := c.call(ctx, http.MethodGet, "/catalogue", nil, &answer)
	return answer.Weights, err
}

// Load fetches a weight, as engines do; it returns when the load is done.
func (c *Client) Load(ctx context.Context, w galenastair.Weight) error {
	body, err := json.Marshal(w)
	if err != nil {
		return err
	}
	status, _, err := c.do(ctx, http.MethodPost, "/loads", body)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return eris.Wrapf(errStatus, "load of %s: status %d", w.Name, status)
	}
	return nil
}
