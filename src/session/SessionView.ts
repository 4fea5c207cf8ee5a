import { CLOCK_SKEW_MS } from '../fleet/mod.js';
import { collectShareViews } from './collectShareViews.js';
import type { SessionState, DataCentreSet, Fleet } from '../fleet/mod.js';

/** A gateway session and the address at which peers reach it. */
export interface Peer {
  session: string;
  peerAddress: string;
}

/** The part of the fleet's state that the session and claim keepers of a gateway use. */
export interface SessionView {
  dataCentre: string;
  /** Offset of the last record that changed the set of sessions of the data centre. */
  viewNumber: number;
  nextOffset: number;
  /** Platform time of the last record applied, in milliseconds. */
  time: number;
  /** Open gateway sessions of the data centre, by id. */
  members: Peer[];
  /** This gateway's session, if the log shows it as open. */
  own: SessionState | undefined;
  /**
   * Claims for keys created after this time are granted only once this session has recorded them.
   * Undefined while an older session may still make claims without this one.
   */
  coveredFrom: number | undefined;
  /** Draining hosts of the data centre that this session has not reported as drained yet. */
  draining: string[];
  services: string[];
  dataCentreSets: DataCentreSet[];
  /** By data centre: the gateways that have slots, or all of its gateways if none has. */
  gateways: Record<string, Peer[]>;
}

/**
 * Twice the skew: the claimant's clock may be ahead of the platform's clock by one skew, and the
 * claimant accepts keys that are ahead of its own clock by another.
 */
const COVERAGE_MARGIN_MS = 2 * CLOCK_SKEW_MS;

function computeCoverage(own: SessionState | undefined, open: SessionState[]): number | undefined {
  if (own === undefined) return undefined;
  const hasUnconfirmedOlder = open.some(
    (other) => other.openedOffset < own.openedOffset && other.confirmedOffset < own.openedOffset,
  );
  return hasUnconfirmedOlder ? undefined : own.claimBarrier + COVERAGE_MARGIN_MS;
}

function listDraining(fleet: Fleet, dataCentre: string, session: string): string[] {
  return fleet.data
    .listHosts(dataCentre)
    .map((host) => host.name)
    .filter((host) => {
      const state = fleet.findHostState(host);
      if (state?.phase !== 'releasing' && state?.phase !== 'granted') return false;
      return !state.drainedBy.includes(session);
    });
}

function toPeer({ session, peerAddress }: SessionState): Peer {
  return { session, peerAddress };
}

/**
 * Lists the gateways of a data centre that are in every view which may still be in effect. A
 * session that replaced an ended one has no slots until the shares of the ended one are released
 * about a minute later, so jobs with a key that it owned would be refused until then.
 */
function listGatewaysInAllViews(fleet: Fleet, dataCentre: string): Peer[] {
  const open = fleet.listGateways(dataCentre);
  const views = collectShareViews(fleet, dataCentre, fleet.time);
  const inAllViews = open.filter(({ session }) => views.every((ids) => ids.includes(session)));
  return (inAllViews.length > 0 ? inAllViews : open).map(toPeer);
}

/** Creates the view of a gateway session from the fleet's state. */
export function createSessionView(
  fleet: Fleet,
  options: { dataCentre: string; session: string },
): SessionView {
  const { dataCentre, session } = options;
  const open = fleet.listGateways(dataCentre);
  const own = open.find((gateway) => gateway.session === session);
  const names = new Set(fleet.data.listSessions('gateway').map((gateway) => gateway.dataCentre));
  const gateways = Object.fromEntries(
    [...names].map((name) => [name, listGatewaysInAllViews(fleet, name)]),
  );
  return {
    dataCentre,
    viewNumber: fleet.data.views.get(dataCentre) ?? -1,
    nextOffset: fleet.nextOffset,
    time: fleet.time,
    members: open.map(toPeer),
    own: own && { ...own },
    coveredFrom: computeCoverage(own, open),
    draining: listDraining(fleet, dataCentre, session),
    services: fleet.data.listObjects('service').map((service) => service.name),
    dataCentreSets: structuredClone([...fleet.data.dataCentreSets]),
    gateways,
  };
}
