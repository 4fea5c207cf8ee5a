import { AdviceService, type Advice } from '../port/mod.js';

/** Advice service of a deployment that has none; rejects every request. */
export class NoAdviceService extends AdviceService {
  override askAdvice(): Promise<Advice> {
    return Promise.reject(new Error('no advice service'));
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}
