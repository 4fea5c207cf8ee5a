import { AdviceService, type Advice } from '../port/mod.js';

/** Stands for an advice service that a deployment does not have. */
export class NoAdviceService extends AdviceService {
  override askAdvice(): Promise<Advice> {
    return Promise.reject(new Error('no advice service'));
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}
