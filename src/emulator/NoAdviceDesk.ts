import { AdviceDesk, type Advice } from '../port/mod.js';

/** Stands for an advice service that a deployment does not have. */
export class NoAdviceDesk extends AdviceDesk {
  override askAdvice(): Promise<Advice> {
    return Promise.reject(new Error('no advice service'));
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}
