// Package catalog holds the operator's configuration as a gateway uses it: routes,
// services with their models, organisations with their keys and quotas, and limits
// on callers. A catalog is built once for each version and not changed afterwards, so
// that any number of goroutines may read it.
package catalog
