import { CLOCK_SKEW_MS } from '../fleet/mod.js';
import { collectShareViews } from './collectShareViews.js';
import type { SessionState, DataCentreSet, Fleet } from '../fleet/mod.js';

/** A gateway as its peers see it. */
export interface Peer {
  session: string;
  peerAddress: string;
}

/** What the session and claim keepers of a gateway need of the fleet. */
export interface SessionView {
  dataCentre: string;
  /** Offset that last changed the set of sessions of the data centre. */
  viewNumber: number;
  nextOffset: number;
  /** Platform time of the last record folded. */
  time: number;
  /** Open gateway sessions of the data centre, by id. */
  members: Peer[];
  /** This gateway's session, while it is open in the log. */
  own: SessionState | undefined;
  /**
   * Claims for keys created after this time need this session's consent, or were made with it;
   * undefined while an older session may still make claims without it.
   */
  coveredFrom: number | undefined;
  /** Hosts of the data centre that drain and were not reported as drained by this session. */
  draining: string[];
  services: string[];
  dataCentreSets: DataCentreSet[];
  /** Gateways of every data centre that have slots, or all of one where none has. */
  gateways: Record<string, Peer[]>;
}

/**
 * The claimant's clock may be ahead of the platform's by the skew, and it accepts keys that are ahead
 * of its own by the skew again.
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
 * Lists the gateways of a data centre that are in every view which may still be in force. A session
 * that took the place of an ended one has no slots until the shares of that one are released, about
 * a minute later; a key that it owned would be refused for that time.
 */
function listGatewaysInAllViews(fleet: Fleet, dataCentre: string): Peer[] {
  const open = fleet.listGateways(dataCentre);
  const views = collectShareViews(fleet, dataCentre, fleet.time);
  const inAllViews = open.filter(({ session }) => views.every((ids) => ids.includes(session)));
  return (inAllViews.length > 0 ? inAllViews : open).map(toPeer);
}

/** Reads from the fleet what a gateway session needs. */
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
