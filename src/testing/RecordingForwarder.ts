import {
  JobForwarder,
  type Exchange,
  type ForwardResult,
  type ForwardTarget,
} from '../link/mod.js';

/** Forwards nothing and records the kind of each requested target. */
export class RecordingForwarder extends JobForwarder {
  readonly kinds: ForwardTarget['kind'][] = [];

  override async forward(_: Exchange, target: ForwardTarget): Promise<ForwardResult> {
    this.kinds.push(target.kind);
    return { answered: false, sent: false, outcome: 'not-run' };
  }

  override async close(): Promise<void> {
    // There are no resources to release.
  }
}
