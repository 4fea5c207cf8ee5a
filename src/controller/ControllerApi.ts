import {
  describeContracts,
  describeFleet,
  describeHost,
  type ContractDescription,
  type Fleet,
  type FleetKeeper,
  type FleetSnapshot,
  type FleetSummary,
  type HostDescription,
  type SinceAnswer,
  type VerdictAnswer,
} from '../fleet/mod.js';
import type { LogWriter, RecordId } from '../log/mod.js';
import type { Operation, RecordBody } from '../record/mod.js';
import { DescribeProjector } from './_DescribeProjector.js';
import { splitChange } from './splitChange.js';

/** How long a proposal may take to come back from the log before the caller is told so. */
const VERDICT_TIMEOUT_MS = 10_000;

/** A change as an operator sends it. */
export interface ChangeRequest {
  baseRevision: number;
  operations: Operation[];
  operator: string;
}

/** What a controller does for its clients, apart from the encoding of the calls. */
export class ControllerApi {
  readonly #keeper: FleetKeeper;

  readonly #writer: LogWriter;

  constructor(keeper: FleetKeeper, writer: LogWriter) {
    this.#keeper = keeper;
    this.#writer = writer;
  }

  /** Reads the records from an offset. */
  readSince(offset: number, waitMs: number): Promise<SinceAnswer> {
    return this.#keeper.ask<SinceAnswer>(
      (reply) => ({ type: 'since', offset, waitMs, reply }),
      waitMs + VERDICT_TIMEOUT_MS,
    );
  }

  /** Reads the whole state. */
  readSnapshot(): Promise<FleetSnapshot> {
    return this.#keeper.ask((reply) => ({ type: 'snapshot', reply }));
  }

  /** Describes the pools of the fleet. */
  describe(): Promise<FleetSummary> {
    return this.#describe(describeFleet);
  }

  /** Describes a host; null for one that is not configured. */
  describeHost(name: string): Promise<HostDescription | null> {
    const now = Date.now();
    return this.#describe((fleet) => describeHost(fleet, { name, now }) ?? null);
  }

  /** Describes the promises of the pools. */
  describeContracts(): Promise<ContractDescription[]> {
    const now = Date.now();
    return this.#describe((fleet) => describeContracts(fleet, now));
  }

  /** Appends the parts of a change and returns the verdict on the whole. */
  async changeConfiguration(request: ChangeRequest): Promise<VerdictAnswer> {
    const answers = await Promise.all(splitChange(request).map((part) => this.append(part)));
    const last = answers.at(-1);
    if (last === undefined) throw new RangeError('a change needs at least one operation');
    return last;
  }

  /** Appends a record and returns the verdict on it. */
  async append(body: RecordBody): Promise<VerdictAnswer> {
    const id = await this.#writer.ask<RecordId>(
      (reply) => ({ type: 'append', body, reply }),
      VERDICT_TIMEOUT_MS,
    );
    return this.#keeper.ask<VerdictAnswer>(
      (reply) => ({ type: 'verdict', id, reply }),
      VERDICT_TIMEOUT_MS,
    );
  }

  #describe<Description>(describe: (fleet: Fleet) => Description): Promise<Description> {
    return this.#keeper.ask<Description>((reply) => ({
      type: 'project',
      projector: new DescribeProjector(describe, reply),
    }));
  }
}
