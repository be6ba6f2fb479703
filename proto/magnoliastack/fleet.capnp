# What entry hosts tell each other in datagrams. Internal: all hosts run the
# same or the neighbouring version.
@0xe3f4b2c98d517a06;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("magnoliastack::fleet::wire");

struct Demand {
  organisation @0 :Text;
  # Operations a second, in thousandths.
  milliRate @1 :UInt32;
  # Operations that the host could admit at once.
  tokens @2 :UInt32;
}

# Tokens of an organisation's rate, asked for or lent.
struct Tokens {
  host @0 :Text;
  incarnation @1 :UInt64;
  organisation @2 :Text;
  amount @3 :UInt32;
}

struct Datagram {
  union {
    report @0 :Report;
    tokenRequest @1 :Tokens;
    tokenGrant @2 :Tokens;
  }
}

struct GroupReport {
  group @0 :Text;
  # Replacements of the primary that this host has confirmed: it uses the
  # primary before it no more.
  stoppedGeneration @1 :UInt64;
  # The primary that this host uses; empty when it relies on none.
  primary @2 :Text;
  # End of the primary's log: it covers all commits before the time.
  term @3 :UInt64;
  position @4 :UInt64;
  # The store's time, in milliseconds.
  coveredAt @5 :UInt64;
  # How long the primary has not answered, in milliseconds; 0 when it answers.
  unreachableMs @6 :UInt32;
}

struct Report {
  host @0 :Text;
  incarnation @1 :UInt64;
  # Counts the reports of the incarnation.
  number @2 :UInt64;
  # The host ends and relies on nothing any more.
  leaving @3 :Bool;
  # Newest row of the fleet that the host knows, and the store's time in
  # milliseconds at which there was no newer one.
  newestRow @4 :UInt64;
  confirmedAt @5 :UInt64;
  demands @6 :List(Demand);
  groups @7 :List(GroupReport);
  # The host reached the store within the last second.
  storeReachable @8 :Bool;
  configurationVersion @9 :UInt64;
  # The store's time of the report, in milliseconds.
  toldAt @10 :UInt64;
}
