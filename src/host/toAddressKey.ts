/**
 * Normalizes an address, so that different spellings of the same socket address compare as equal.
 *
 * @example
 * ```ts
 * toAddressKey('10.0.0.1:0080') === toAddressKey('10.0.0.1:80'); // true
 * ```
 */
export function toAddressKey(address: string): string {
  const url = `http://${address}`;
  // The address schema accepts addresses that are not valid in a URL; these are only lowercased.
  return URL.canParse(url) ? new URL(url).host : address.toLowerCase();
}
