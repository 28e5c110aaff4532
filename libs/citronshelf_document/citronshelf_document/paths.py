"""Normal form of request paths.

A backend server may decode and resolve a path before it runs the request. A
path with two equivalent forms could match the route of an idempotent class
here but run non-idempotent work on the server, which a retry would then run
twice. Therefore no route matches a request whose path a server could interpret
as another one, and routes use only characters that have a single form in
accepted requests.
"""

import re

# Characters that RFC 3986 allows in a path, except ";": some backend servers
# cut a segment there, so "/mint/issue;x" would run as "/mint/issue".
ALLOWED_PATH = re.compile(r"(?:[A-Za-z0-9._~!$&'()*+,=:@/-]|%[0-9A-Fa-f]{2})*")
# Characters that have no other form in accepted requests.
UNAMBIGUOUS_PATH = re.compile(r'(?:[A-Za-z0-9._~/-]|%[89A-F][0-9A-F])*')
UNRESERVED = frozenset(
    'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~'
)
PERCENT_ENCODED = re.compile(r'%([0-9A-Fa-f]{2})')
DOT_SEGMENT = re.compile(r'/\.{1,2}(?:/|$)')


def normalise(path: str) -> str:
    """Return a request's path in the form that routes use.

    Parameters
    ----------
    path : str
        Path as received, still percent-encoded, with or without query.

    Returns
    -------
    str
        Path without query, with upper-case digits in percent-encoding.
    """
    path = path.partition('?')[0]
    if '%' not in path:
        return path
    return PERCENT_ENCODED.sub(lambda found: found[0].upper(), path)


def find_pattern_fault(pattern: str) -> str | None:
    """Return why a route's path or prefix is not in normal form, or None.

    Stricter than ``find_fault``: also refuses characters that a request may
    write in several ways.
    """
    fault = find_fault(pattern)
    if fault is None and not UNAMBIGUOUS_PATH.fullmatch(pattern):
        return (
            'it has a character besides letters, digits, - . _ ~ / and '
            'percent-encoded non-ASCII characters (%80 to %FF, upper case)'
        )
    return fault


def find_fault(path: str) -> str | None:
    """Return why a request's path is not in normal form, or None.

    Parameters
    ----------
    path : str
        Path without query.
    """
    if not path.startswith('/'):
        return 'it does not begin with /'
    if not ALLOWED_PATH.fullmatch(path):
        return 'it has a ; or a character that must be percent-encoded'
    if '//' in path:
        return 'it has an empty segment'
    if DOT_SEGMENT.search(path):
        return 'it has a . or .. segment'
    if '%' in path:
        return find_encoding_fault(path)
    return None


def find_encoding_fault(path: str) -> str | None:
    """Return why a percent-encoded character is refused, or None."""
    for digits in PERCENT_ENCODED.findall(path):
        character = chr(int(digits, 16))
        if character in UNRESERVED:
            return f'%{digits} must be written {character}'
        if character in '/\\':
            return f'%{digits} is an encoded separator'
        if character < ' ' or character == '\x7f':
            return f'%{digits} is a control character'
    return None
