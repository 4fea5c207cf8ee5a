/**
 * Writes an address in one form, so that two spellings of the same socket compare as equal.
 *
 * @example
 * ```ts
 * toAddressKey('10.0.0.1:0080') === toAddressKey('10.0.0.1:80'); // true
 * ```
 */
export function toAddressKey(address: string): string {
  const url = `http://${address}`;
  // The address schema is looser than a URL; what is no URL is compared as written.
  return URL.canParse(url) ? new URL(url).host : address.toLowerCase();
}
