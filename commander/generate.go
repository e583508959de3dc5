package commander

//go:generate sh -c "go run ../cmd/masticway docs > ../docs/SETTINGS.md"
//go:generate sh -c "go run ../cmd/masticway docs --page capacity > ../docs/CAPACITY.md"
