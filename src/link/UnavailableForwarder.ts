import { JobForwarder, type ForwardResult } from './JobForwarder.js';

/** Reports every job as not sent. For a gateway without peers. */
export class UnavailableForwarder extends JobForwarder {
  override async forward(): Promise<ForwardResult> {
    return { answered: false, sent: false, outcome: 'not-run' };
  }

  override async close(): Promise<void> {
    // No connections are open.
  }
}
