/** Paths of requests. */

/**
 * Decodes a percent-encoded path segment.
 *
 * @param segment the segment as received
 * @returns the text; undefined when the encoding is invalid
 */
export function decodePathSegment(segment: string): string | undefined {
	try {
		return decodeURIComponent(segment);
	} catch {
		return undefined;
	}
}
