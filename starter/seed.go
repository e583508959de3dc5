package starter

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/bookkeeper"
	"github.com/masticway/masticway/configurer"
)

// Prepaid is the initial amount of a budget.
type Prepaid struct {
	Budget string
	Amount masticway.Amount
}

// Seed writes the catalog, the contracts and the budgets to the platform's table, as an operator would when setting up a fleet.
func (f *Fleet) Seed(ctx context.Context, catalog masticway.Catalog, contracts []masticway.Contract, budgets []Prepaid) error {
	book := bookkeeper.New(f.Platform.Table)
	for _, b := range budgets {
		if _, err := book.TopUp(ctx, b.Budget, uuid.NewString(), b.Amount); err != nil {
			return fmt.Errorf("seeding budget %s: %w", b.Budget, err)
		}
	}
	store := configurer.NewStore(f.Platform.Table)
	if _, err := store.Put(ctx, masticway.Change{ID: uuid.NewString(), Catalog: &catalog}, configurer.AnyRevision); err != nil {
		return fmt.Errorf("seeding the catalog: %w", err)
	}
	for _, c := range contracts {
		if _, err := store.Put(ctx, masticway.Change{ID: uuid.NewString(), Contract: &c}, configurer.AnyRevision); err != nil {
			return fmt.Errorf("seeding contract %s: %w", c.Workspace, err)
		}
	}
	return nil
}
