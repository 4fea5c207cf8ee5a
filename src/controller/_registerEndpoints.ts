import type { ProcessObserver } from '../observation/mod.js';
import type { ControllerApi } from './ControllerApi.js';

function parseRevision(query: URLSearchParams): number | undefined {
  const text = query.get('revision');
  if (text === null) return undefined;
  const revision = Number(text);
  if (Number.isInteger(revision) && revision >= 0) return revision;
  throw new RangeError(`revision: expected a revision, got "${text}"`);
}

/**
 * Registers the read-only JSON endpoints for operators, `GET /-/NAME`. They use the same operations
 * as the tRPC procedures; changes are accepted only through the latter.
 */
export function registerEndpoints(observer: ProcessObserver, buildApi: () => ControllerApi): void {
  observer.setStatusReader(() => buildApi().readStatus());
  observer.setEndpointReader('fleet', () => buildApi().describeFleet());
  observer.setEndpointReader('contracts', () => buildApi().describeContracts());
  observer.setEndpointReader('rollout', (query) => buildApi().readRollout(parseRevision(query)));
}
