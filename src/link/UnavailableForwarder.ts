import { JobForwarder, type ForwardResult } from './JobForwarder.js';

/** Forwards nothing; for a gateway without peers. */
export class UnavailableForwarder extends JobForwarder {
  override async forward(): Promise<ForwardResult> {
    return { answered: false, sent: false, outcome: 'not-run' };
  }

  override async close(): Promise<void> {
    // There is nothing to close.
  }
}
