/**
 * Process of several upstream stand-ins: `_upstreams.js COUNT SERVICE_MS` replies their addresses.
 *
 * @module
 */
import { UpstreamStandin } from '../src/standin/mod.js';

const [count, serviceMs] = process.argv.slice(2).map(Number);
const addresses = await Promise.all(
  Array.from({ length: count ?? 1 }, (_, index) => {
    const upstream = new UpstreamStandin(`h${index}`);
    upstream.setBehaviour({ serviceMs });
    return upstream.open();
  }),
);
process.send?.(addresses);
