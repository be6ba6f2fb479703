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

# Tokens of an organisation's rate, asked for, lent or returned unused.
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
    members @3 :MemberUpdate;
    endpointRequest @4 :EndpointRequest;
    endpoints @5 :EndpointUpdate;
    configurationRequest @6 :ConfigurationRequest;
    configuration @7 :Configuration;
    tokenReturn @8 :Tokens;
    configurationPart @9 :ConfigurationPart;
  }
}

# Part of a datagram with a configuration that is too large for one.
struct ConfigurationPart {
  # The sender, and the configuration's version.
  host @0 :Text;
  version @1 :UInt64;
  # Which part it is, counted from 0, and how many there are.
  part @2 :UInt32;
  parts @3 :UInt32;
  bytes @4 :Data;
}

# Asks the receiver for the endpoints that it has read.
struct EndpointRequest {
  host @0 :Text;
}

# Part of the endpoints as the store had them at a time, in its milliseconds.
struct EndpointUpdate {
  readAt @0 :UInt64;
  endpoints @1 :List(Endpoint);
  # The sender, which part it is, counted from 0, and how many there are.
  host @2 :Text;
  part @3 :UInt32;
  parts @4 :UInt32;
}

struct Endpoint {
  id @0 :Text;
  group @1 :Text;
  # `ip:port`.
  address @2 :Text;
  failureDomain @3 :Text;
  slots @4 :UInt32;
  leaving @5 :Bool;
  primary @6 :Bool;
  # Start of its process, in milliseconds since the Unix epoch.
  startedUnixMs @7 :Int64;
  # Remaining slow period after the start, as of the entry's last change.
  coldLeftMs @8 :UInt32;
}

# Asks the receiver for the configuration that it has in force.
struct ConfigurationRequest {
  host @0 :Text;
}

# One version of the operators' declarations, as a whole.
struct Configuration {
  version @0 :UInt64;
  groups @1 :List(Group);
  routes @2 :List(Route);
  organisations @3 :List(Organisation);
  keys @4 :List(Key);
  idleTransactionMs @5 :UInt64;
}

struct Group {
  id @0 :Text;
  maxConnections @1 :UInt32;
  # Requests a second to a cold endpoint; 0 for no limit.
  coldRate @2 :Float64;
  # Replicas that have received a commit before it is acknowledged.
  syncReplicas @3 :UInt32;
}

struct Route {
  # The name of the database that callers ask for.
  database @0 :Text;
  group @1 :Text;
  # 0 primary, 1 bounded, 2 read your writes.
  consistency @2 :UInt8;
  statementTimeoutMs @3 :UInt64;
  maxStalenessMs @4 :UInt64;
  priority @5 :UInt32;
  open @6 :Bool;
  id @7 :Text;
  # 0 when none is declared.
  objectiveMs @8 :UInt64;
  homeRegions @9 :List(Text);
}

struct Organisation {
  id @0 :Text;
  rate @1 :Float64;
  burst @2 :Float64;
  # It has no limit; rate and burst mean nothing then.
  unlimited @3 :Bool;
  priority @4 :UInt32;
  homeRegions @5 :List(Text);
}

struct Key {
  key @0 :Text;
  organisation @1 :Text;
}

# A member's row as the store has it.
struct Member {
  host @0 :Text;
  version @1 :UInt64;
  incarnation @2 :UInt64;
  address @3 :Text;
  failureDomain @4 :Text;
  # The store's time in milliseconds at which the row was marked as out; 0 when
  # it is not.
  outSince @5 :UInt64;
  # The store's time in milliseconds since which the host is a member.
  memberSince @6 :UInt64;
}

# Rows of members for a host that lacks them, the oldest first. They follow the
# version `after`, and all up to `complete` are among them.
struct MemberUpdate {
  after @0 :UInt64;
  complete @1 :UInt64;
  members @2 :List(Member);
  # Era of the store that all versions are of.
  storeEra @3 :UInt64;
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
  # The group's leadership row and its version, while it is new. Hosts that lack
  # an older one read it from the store.
  rowVersion @7 :UInt64;
  rowGeneration @8 :UInt64;
  rowMoving @9 :Bool;
  rowPrimary @10 :Text;
  rowTerm @11 :UInt64;
  rowHolder @12 :Text;
  rowIncluded @13 :Bool;
}

# A failure domain that is evacuated, or was.
struct Evacuation {
  failureDomain @0 :Text;
  # 0 ordered by its row, 1 kept although a return of the store has lost the
  # row, 2 cancelled.
  state @1 :UInt8;
  # Version of the row; 0 when it is not there.
  version @2 :UInt64;
  # The store's time in milliseconds at which a host saw the row first.
  since @3 :UInt64;
}

struct Report {
  host @0 :Text;
  incarnation @1 :UInt64;
  # Counts the reports of the incarnation.
  number @2 :UInt64;
  # The host ends and relies on nothing any more.
  leaving @3 :Bool;
  # The store's time in milliseconds at which the rows were as the host knows
  # them; 0 while the host may lack rows that the store has lost.
  confirmedAt @4 :UInt64;
  demands @5 :List(Demand);
  groups @6 :List(GroupReport);
  # The host reached the store within the last second.
  storeReachable @7 :Bool;
  configurationVersion @8 :UInt64;
  # Not used any more; 0.
  unusedToldAt @9 :UInt64;
  # Highest version of a member's row that the host knows, with all before it.
  membersVersion @10 :UInt64;
  # Hash of the endpoints' entries as the host has read them, and the store's
  # time of the reading in milliseconds.
  endpointsDigest @11 :UInt64;
  endpointsReadAt @12 :UInt64;
  # Highest version of a leadership row that the host knows, with all before it,
  # and the version after which all of them are among the groups.
  leadershipsVersion @13 :UInt64;
  leadershipsAfter @14 :UInt64;
  # Era of the store that all versions of the report are of.
  storeEra @15 :UInt64;
  # The host was there before the era, and the store has all that it knew.
  recovered @16 :Bool;
  # Evacuations as of a version within an era of the store; version 0 while the
  # host knows of none.
  evacuations @17 :List(Evacuation);
  evacuationsEra @18 :UInt64;
  evacuationsVersion @19 :UInt64;
  # The store's time in milliseconds at which the configuration and the
  # evacuations of the report were the newest ones; 0 when not known.
  operatorConfirmedAt @20 :UInt64;
}
