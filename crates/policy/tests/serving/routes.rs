//! Guards against requests that are served by a wrong route or without a required API key.

use std::collections::BTreeMap;

use crate::support::configuration;
use crate::support::route;
use arbutus_policy::serving::model::Destination;
use arbutus_policy::serving::model::OrganisationSpec;
use arbutus_policy::serving::model::RouteKind;
use arbutus_policy::serving::routes::Access;
use arbutus_policy::serving::routes::RouteTable;
use arbutus_policy::serving::routes::select_service;

fn table(with_keys: bool) -> RouteTable {
    let mut open = route("open", "/open/", RouteKind::Safe);
    open.anonymous = true;
    let mut other = route("other", "/", RouteKind::Safe);
    "b.example".clone_into(&mut other.host);
    let mut configuration = configuration(
        1,
        vec![
            route("short", "/x/", RouteKind::Safe),
            route("long", "/x/y/", RouteKind::Unsafe),
            open,
            other,
        ],
    );
    if with_keys {
        let organisation = OrganisationSpec {
            name: "bakers".to_owned(),
            priority: None,
        };
        let keys = BTreeMap::from([("key".to_owned(), organisation)]);
        configuration.organisations_by_key = Some(keys);
    }
    RouteTable::new(configuration)
}

#[test]
fn the_route_with_the_longest_matching_prefix_is_selected() {
    let table = table(false);
    let cases = [
        ("a.example", "/x/1", Some("short")),
        ("a.example", "/x/y/1", Some("long")),
        ("A.Example:8080", "/x/y/", Some("long")),
        ("a.example", "/x/y", Some("short")),
        ("a.example", "/x", None),
        ("a.example", "/z/", None),
        ("b.example", "/z/", Some("other")),
        ("c.example", "/x/", None),
    ];
    for (host, path, expected) in cases {
        let found = table.route(host, path).map(|route| route.name.as_str());
        assert_eq!(found, expected, "{host}{path}");
    }
}

#[test]
fn a_key_is_needed_unless_the_route_is_anonymous() {
    let table = table(true);
    let name = |access: Access<'_>| match access {
        Access::Allowed { organisation, .. } => {
            organisation.map_or("none".to_owned(), |organisation| organisation.name.clone())
        }
        Access::UnknownRoute => "unknown route".to_owned(),
        Access::UnknownKey => "unknown key".to_owned(),
    };
    let cases = [
        ("/x/1", Some("key"), "bakers"),
        ("/x/1", Some("old"), "unknown key"),
        ("/x/1", None, "unknown key"),
        ("/open/1", None, "none"),
        ("/open/1", Some("old"), "none"),
        ("/open/1", Some("key"), "bakers"),
        ("/z/1", Some("key"), "unknown route"),
    ];
    for (path, key, expected) in cases {
        let access = table.check_access("a.example", path, key);
        assert_eq!(name(access), expected, "{path} {key:?}");
    }
}

#[test]
fn requests_are_divided_among_services_by_weight() {
    let mut split = route("split", "/", RouteKind::Safe);
    split.destinations = vec![
        Destination {
            service: "old".to_owned(),
            weight: 90.0,
        },
        Destination {
            service: "new".to_owned(),
            weight: 10.0,
        },
    ];
    let to_new = (0..1_000)
        .filter(|&step| select_service(&split, f64::from(step) / 1_000.0) == Some("new"))
        .count();
    assert_eq!(to_new, 100);
    split.destinations.clear();
    assert_eq!(select_service(&split, 0.5), None);
}
