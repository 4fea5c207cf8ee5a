import type { LoggedRecord, RecordBody } from '../record/mod.js';
import type { EventInput } from './FleetEvent.js';

/** The result of applying a record, as recorded in the timeline. */
export interface RecordOutcome {
  outcome: string;
  reasons?: string[];
  /** Offset of the record that triggered this one. */
  because?: number;
}

function describeBody(body: RecordBody): Omit<EventInput, 'type'> {
  switch (body.type) {
    case 'config-change': {
      const hosts = body.operations.flatMap((operation) => {
        if (operation.kind !== 'host') return [];
        return [operation.action === 'put' ? operation.object.name : operation.name];
      });
      const by = body.operator === '' ? '' : ` by ${body.operator}`;
      const detail = `${body.operations.length} operations${by}, part ${body.part} of ${body.parts}`;
      return { change: body.changeId, hosts, detail };
    }
    case 'host-observed': {
      const detail = body.observations.map(({ host, status }) => `${host} ${status}`).join(', ');
      return { hosts: body.observations.map(({ host }) => host), detail };
    }
    case 'host-assign':
      return { hosts: body.hosts, pool: body.pool };
    case 'host-release':
      return { hosts: body.hosts, pool: body.toPool };
    case 'session-open':
      return {
        session: body.session,
        dataCentre: body.dataCentre,
        detail: `${body.role} ${body.address}`,
      };
    case 'session-end':
      return { session: body.session, detail: `by ${body.by}` };
    case 'session-confirm':
      return { session: body.session, detail: `offset ${body.offset}` };
    case 'pool-demand': {
      const detail = body.demands.map(({ pool, extra }) => `${pool} +${extra}`).join(', ');
      return { pool: body.demands[0]?.pool, detail };
    }
    case 'host-drained':
      return { session: body.session, hosts: body.hosts };
    default:
      return { hosts: body.hosts, detail: body.wave === '' ? '' : `wave ${body.wave}` };
  }
}

/**
 * Builds the event for the proposal of a record.
 *
 * @param record The record as `writer/sequence`.
 *
 * @example
 * ```ts
 * const body: RecordBody = { type: 'host-assign', hosts: ['h1'], pool: 'match' };
 * describeProposal(body, 'w/1').type; // 'host-assign.proposed'
 * ```
 */
export function describeProposal(body: RecordBody, record: string): EventInput {
  return { ...describeBody(body), type: `${body.type}.proposed`, proposes: record };
}

/**
 * Builds the event for a record that was applied, from the verdict on it.
 *
 * @example
 * ```ts
 * describeRecord(record, { outcome: 'accepted' }).type; // for example 'host-assign.accepted'
 * ```
 */
export function describeRecord(record: LoggedRecord, verdict: RecordOutcome): EventInput {
  const described = describeBody(record.body);
  const detail = [described.detail ?? '', ...(verdict.reasons ?? [])].filter((text) => text !== '');
  return {
    ...described,
    type: `${record.body.type}.${verdict.outcome}`,
    offset: record.offset,
    record: `${record.writer}/${record.sequence}`,
    appendedAt: record.time,
    ...(verdict.because !== undefined && { because: verdict.because }),
    detail: detail.join('; '),
  };
}
