import type { HostRecord, StoreRecord } from '../port/mod.js';
import type { NodeContext } from './NodeContext.js';
import { TopicFollower } from './TopicFollower.js';

/** Delay between reads in ms; hosts write with every heartbeat, mostly without a change. */
const READ_DELAY_MS = 60;

/** Messages of the host follower. */
export interface HostFollowerMessage {
  type: 'none';
}

/** Follows the list of hosts while the node owns the shard. */
export class HostFollower extends TopicFollower<HostFollowerMessage> {
  readonly #onRecords: (records: HostRecord[]) => void;

  #knownHosts = new Set<string>();

  constructor(context: NodeContext, onRecords: (records: HostRecord[]) => void) {
    super(context, 'hosts', READ_DELAY_MS);
    this.#onRecords = onRecords;
  }

  protected override applyRecords(records: readonly StoreRecord[], isSnapshot: boolean): void {
    const decoded: HostRecord[] = [];
    this.applyEach(records, (record) => {
      const host = this.context.decoder.decodeHost(record);
      if (host.type === 'unknown') {
        this.context.log.record('record-skipped', host.id, { reason: host.reason });
      }
      decoded.push(host);
    });
    if (isSnapshot) decoded.push(...this.#collectRemoved(decoded));
    decoded.forEach((record) => {
      if (record.type === 'entry') this.#knownHosts.add(record.entry.id);
      else this.#knownHosts.delete(record.id);
    });
    if (decoded.length > 0) this.#onRecords(decoded);
  }

  protected override handle(): void {
    // There are no additional messages.
  }

  /** Builds removals for known hosts that are missing from a snapshot. */
  #collectRemoved(records: readonly HostRecord[]): HostRecord[] {
    const listed = new Set(records.map((one) => (one.type === 'entry' ? one.entry.id : '')));
    return [...this.#knownHosts]
      .filter((id) => !listed.has(id))
      .map((id) => ({ type: 'gone', id }));
  }
}
