import { sortByWeight } from './sortByWeight.js';

/** The host and the session to compute a share for. */
export interface SlotShareOptions {
  host: string;
  session: string;
  /** Slots or connections of the host over all gateways of its data centre. */
  total: number;
}

function computeShareInView(view: string[], { host, session, total }: SlotShareOptions): number {
  if (!view.includes(session)) return 0;
  const remainder = total % view.length;
  const extra = remainder > 0 && sortByWeight(host, view).indexOf(session) < remainder ? 1 : 0;
  return Math.floor(total / view.length) + extra;
}

/**
 * Computes the share of a host's slots or connections that a session may use: the smallest of its
 * shares in the views that any session may still be using.
 *
 * @param views From `collectShareViews`.
 * @example
 * ```ts
 * computeSlotShare([['a', 'b']], { host: 'h1', session: 'a', total: 8 }); // 4
 * computeSlotShare([['b'], ['a', 'b']], { host: 'h1', session: 'a', total: 8 }); // 0
 * ```
 */
export function computeSlotShare(views: string[][], options: SlotShareOptions): number {
  if (views.length === 0) return 0;
  return Math.min(...views.map((view) => computeShareInView(view, options)));
}
