import type { Host, HostState } from '../host/mod.js';
import type { Pool } from '../pool/mod.js';
import type { LoggedRecord } from '../record/mod.js';
import { applyHostRecord } from './_applyHostRecord.js';
import type { FleetData } from './_FleetData.js';
import type { HostDecision } from './_HostTransition.js';
import type { Fleet } from './Fleet.js';

/** At about 64 bytes per name, this keeps a record well below its limit of 64 KiB. */
const MAX_HOSTS_PER_RECORD = 200;

/** A host and its state in a draft. */
export interface DraftHost {
  host: Host;
  state: HostState;
}

function isSameDecision(a: HostDecision, b: HostDecision): boolean {
  return JSON.stringify({ ...a, hosts: [] }) === JSON.stringify({ ...b, hosts: [] });
}

/**
 * A copy of the fleet state on which a plan tries each decision before proposing it.
 *
 * Decisions are applied with the same code as records of the log, and rejected ones are not
 * proposed. The proposals are therefore valid at the state of the copy.
 */
export class PlanDraft {
  readonly bodies: HostDecision[] = [];

  readonly now: number;

  readonly #data: FleetData;

  constructor(fleet: Fleet, now: number) {
    this.#data = fleet.copyForPlan();
    this.now = Math.max(now, fleet.time);
  }

  get data(): Readonly<FleetData> {
    return this.#data;
  }

  /** Finds a host and its state after the proposals made so far. */
  find(name: string): DraftHost | undefined {
    const host = this.#data.configuration.host.get(name)?.object;
    const state = this.#data.hostStates.get(name);
    return host === undefined || state === undefined ? undefined : { host, state };
  }

  /** Lists the pools, those with the highest resource requirements first. */
  listPools(): Pool[] {
    return this.#data
      .listObjects('pool')
      .sort(
        (a, b) =>
          b.requires.accelerators - a.requires.accelerators ||
          b.requires.cores - a.requires.cores ||
          b.requires.memoryGb - a.requires.memoryGb,
      );
  }

  /** Proposes a decision on one host if it is valid; returns whether it was. */
  propose(name: string, decision: HostDecision): boolean {
    const body = { ...decision, hosts: [name] };
    const record: LoggedRecord = {
      offset: this.#data.nextOffset,
      time: this.now,
      writer: 'plan',
      sequence: 1,
      body,
    };
    if (applyHostRecord(this.#data, record, body).outcome !== 'accepted') return false;
    const last = this.bodies.at(-1);
    if (last !== undefined && last.hosts.length < MAX_HOSTS_PER_RECORD) {
      if (isSameDecision(last, body)) {
        last.hosts.push(name);
        return true;
      }
    }
    this.bodies.push(body);
    return true;
  }
}
