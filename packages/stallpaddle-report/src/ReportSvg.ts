/**
 * Helpers for SVG output.
 */

/**
 * Escapes text for the content of an SVG element.
 *
 * @param text plain text
 */
export function escapeText(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');
}
