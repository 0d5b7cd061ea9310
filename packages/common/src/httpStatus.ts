/** Which statuses a reply may have. */

/**
 * Whether a status announces that the reply will follow.
 *
 * @see https://www.rfc-editor.org/rfc/rfc9110#section-15.2
 * @example
 * isInterimStatus(103) === true;
 */
export const isInterimStatus = (status: number): boolean => status >= 100 && status < 200;

/**
 * Whether a reply may end with a status. Three digits may stand in a status line that are no status of HTTP's; nobody knows what they say.
 *
 * @example
 * isFinalStatus(0) === false;
 */
export const isFinalStatus = (status: number): boolean => status >= 200 && status < 600;
