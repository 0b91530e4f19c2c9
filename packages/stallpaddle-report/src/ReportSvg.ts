/**
 * Text in pictures.
 */

/**
 * Text as it may stand in SVG.
 *
 * @param text plain text
 */
export function escapeText(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');
}
