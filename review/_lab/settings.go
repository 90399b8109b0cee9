package main

// platformSettings are settings of a placer of austur-samanburdur, with the names and units of the wire page and the
// figures of the site's brief.
const platformSettings = `{
 "az": 0, "azs": ["room-nord", "room-mid", "room-sud"], "balancers": 3, "me": 0,
 "classes": [
  {"name": "report-worker", "aim_ms": 700, "credit": 3, "deadline_ms": 5000, "effect": "safe", "group": "all",
   "lasting": true, "late_worth": 0.2, "window_ms": 5000},
  {"name": "doc-indexer", "aim_ms": 600, "credit": 2, "deadline_ms": 8000, "effect": "keyed", "group": "cell",
   "lasting": true, "late_worth": 0.1, "window_ms": 8000},
  {"name": "corpus-merge", "aim_ms": 5000, "credit": 5, "deadline_ms": 10000, "effect": "unsafe", "group": "all",
   "lasting": true, "late_worth": 0.1, "window_ms": 5000}],
 "clients": {"marks_retry": true}, "family": "place",
 "family_info": {"admit_cores": 2.5, "class_kind": [-1, -1, 1], "class_most": [1, 3, 1], "cpu_of_kind": [36, 60],
  "easy_until": [1, 0.8, 0.8], "evict_counts": 2, "fade_span": [1, 0.25, 0.25], "fresh_offers": 60,
  "kind_memory": [70, 110], "make_sure_ms": 3000, "measured_by": "asked", "mem_booking": 1.5, "no_price": 0.02,
  "precedence": [2, 0, 1], "preempts": false, "prompt_start_s": [12, 10, 8], "quota_cores": [400, 300, 80, 80],
  "says_pressure": false, "spread_over": ["silent", "zone", "silent"], "sticks": false, "unit_cores": 1.2,
  "unit_memory": 1.9, "use_notes": false, "view": true, "yes_at": "running"},
 "kinds": ["nodo-chico", "nodo-grande"], "load_info": {"fields": ["x0", "x1"], "how": "piggyback"},
 "over_share_worth": 0.05,
 "permissions": {"cancel": true, "conn_idle_ms": 30000, "connect_timeout_ms": 250, "cpu_us_per_request": 0,
  "cpu_us_per_s": 500000, "max_attempts": 3, "max_retry_after_ms": 3000, "may_tell": true, "most_held": 1000000,
  "per_conn": 1048576, "probes": true, "retry_after": true, "second_copies": false},
 "quantum_ms": 2, "registry_mode": "pushed",
 "rules": {"ask_every_ms": 10000, "cold_from": 0.15, "cold_ms": 17000, "grace_to_answer_ms": 50,
  "overload_for_ms": 1500, "stop_sending_within_ms": 1000, "tip_multiple": 2},
 "stages": ["compute-fleet"], "tenants": [{"name": "grunnskolar", "share": 0.47, "allowance_per_s": 12},
  {"name": "menntaskolar", "share": 0.35, "allowance_per_s": 9}, {"name": "baejarskrifstofa", "share": 0.09,
  "allowance_per_s": 3}, {"name": "bokasafn", "share": 0.09, "allowance_per_s": 3}],
 "tier": 0, "value_by": "work", "weights": "silent"}`
