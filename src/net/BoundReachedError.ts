import type { IngressBound } from '../ingress/mod.js';

/** A request was not executed because the process is at one of its bounds. */
export class BoundReachedError extends Error {
  override name = 'BoundReachedError';

  constructor(bound: IngressBound) {
    super(`the process is at its bound of ${bound}`);
  }
}
