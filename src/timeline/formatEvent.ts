import type { FleetEvent } from './FleetEvent.js';
import type { MergedEvent } from './mergeTimelines.js';

/** Maximum number of hosts named per line; an inventory change can concern thousands. */
const MAX_NAMED_HOSTS = 5;
const PROCESS_WIDTH = 20;

function formatHosts({ hosts, hostCount }: FleetEvent): string | undefined {
  if (hosts === undefined || hosts.length === 0) return undefined;
  const count = hostCount ?? hosts.length;
  const remainder = count > MAX_NAMED_HOSTS ? ` and ${count - MAX_NAMED_HOSTS} more` : '';
  return `${hosts.slice(0, MAX_NAMED_HOSTS).join(',')}${remainder}`;
}

/**
 * Formats an event of the merged timeline as one line. Times are in UTC.
 *
 * @example
 * ```ts
 * const [merged] = mergeTimelines([timeline.list()]);
 * formatEvent(merged); // '10:41:11.783 gateway-1            host.ejected host=h7'
 * ```
 */
export function formatEvent({ event, skewMs }: MergedEvent): string {
  const fields = {
    host: event.host ?? formatHosts(event),
    pool: event.pool,
    service: event.service,
    request: event.request,
    change: event.change,
    session: event.session,
    offset: event.offset,
  };
  const formattedFields = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${value}`);
  const skew = skewMs > 0 ? [`(clock behind by ${Math.ceil(skewMs)} ms or more)`] : [];
  const time = new Date(event.wall).toISOString().slice(11, 23);
  const process = event.process.slice(0, PROCESS_WIDTH).padEnd(PROCESS_WIDTH);
  const detail = event.detail === '' ? [] : [event.detail];
  return [time, process, event.type, ...formattedFields, ...detail, ...skew].join(' ');
}
