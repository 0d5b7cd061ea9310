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
 * Whether a reply may end with a status. The three digits of a status line may be none of HTTP's statuses, and then have no meaning.
 *
 * @example
 * isFinalStatus(0) === false;
 */
export const isFinalStatus = (status: number): boolean => status >= 200 && status < 600;
